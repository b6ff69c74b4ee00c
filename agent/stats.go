package agent

import (
	"fmt"
	"strings"
	"sync"

	"go.opentelemetry.io/otel/attribute"

	"catkinpoint/meter"
	"catkinpoint/wire"
)

// stats counts ended tasks by final state for the metrics.
type stats struct {
	mu    sync.Mutex
	ended map[wire.TaskState]int64
}

func (s *stats) recordEnd(state wire.TaskState) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.ended == nil {
		s.ended = make(map[wire.TaskState]int64)
	}
	s.ended[state]++
}

// RegisterMetrics adds the agent's metrics to m.
func (a *Agent) RegisterMetrics(m *meter.Meter) error {
	err := m.Gauge("agent_tasks_ended", "Tasks that ended at this agent, by final state.", func(observe meter.Observe) {
		a.stats.mu.Lock()
		defer a.stats.mu.Unlock()
		for state, n := range a.stats.ended {
			name := strings.ToLower(strings.TrimPrefix(state.String(), "TASK_"))
			observe(float64(n), attribute.String("state", name))
		}
	})
	if err != nil {
		return fmt.Errorf("registering agent metrics: %w", err)
	}
	return nil
}
