package duty

import (
	"fmt"
	"slices"
	"testing"

	"catkinpoint/flow"
	"catkinpoint/graph"
)

// Guards against jobs whose units a decision never considers, and against a decision that
// considers later tasks of the first jobs only after tasks of others.
func TestQuotas(t *testing.T) {
	tests := []struct {
		name  string
		tasks []int // by precedence
		total int
		want  []int
	}{
		{"one", []int{1000}, 100, []int{100}},
		{"large first", []int{1000, 1000}, 100, []int{75, 25}},
		{"small first", []int{10, 1000, 1000}, 100, []int{10, 65, 25}},
		{"small last", []int{1000, 1000, 5}, 100, []int{72, 22, 5}},
		{"many", []int{100, 1, 1, 1, 100}, 20, []int{13, 1, 1, 1, 3}},
		{"too many", []int{2, 2, 2, 2, 2, 2}, 6, []int{2, 1, 0, 0, 0, 0}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			var jobs []readyJob
			for _, n := range test.tasks {
				jobs = append(jobs, readyJob{tasks: n})
			}
			setQuotas(jobs, test.total)
			var got []int
			sum := 0
			for _, j := range jobs {
				got, sum = append(got, j.quota), sum+j.quota
			}
			if fmt.Sprint(got) != fmt.Sprint(test.want) || sum > test.total {
				t.Errorf("quotas %v; want %v", got, test.want)
			}
		})
	}
}

// Guards against jobs that are beyond a decision's bound for good.
func TestAllJobsGetTheirTurn(t *testing.T) {
	const n = 3 * maxRequestTasks
	st := newState(0)
	reached := map[*job]int{}
	var jobs []readyJob
	for range n {
		jobs = append(jobs, readyJob{job: &job{}, tasks: 1, first: 1})
	}
	const rounds = 3
	for range rounds {
		taken := st.limitJobs(jobs)
		if len(taken) > 2*maxRequestTasks {
			t.Fatalf("%d jobs are taken", len(taken))
		}
		for _, j := range taken {
			reached[j.job]++
		}
	}
	if len(reached) != n || reached[jobs[0].job] != rounds || reached[jobs[maxRequestTasks-1].job] != rounds {
		t.Errorf("%d of %d jobs are reached, the first %d times in %d rounds", len(reached), n, reached[jobs[0].job], rounds)
	}
}

// Guards against steps of a job that no decision ever considers, as those before them leave no
// room and the turns skip them.
func TestAllStepsGetTheirTurn(t *testing.T) {
	wide := &flow.Step{Count: 2000, Gang: true}
	narrow := &flow.Step{Count: 1}
	tests := []struct {
		name  string
		steps []*flow.Step
		limit int
	}{
		{"two", []*flow.Step{narrow, narrow}, 1},
		{"wide second", []*flow.Step{narrow, wide}, maxRequestTasks / 4},
		{"wide between", []*flow.Step{narrow, wide, narrow, wide}, 40},
		{"many", slices.Repeat([]*flow.Step{narrow}, 1000), 40},
		{"many of four", slices.Repeat([]*flow.Step{narrow}, 1000), 4},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			j := graph.New(&flow.Job{Id: jobID, Steps: test.steps}, nil)
			reached := map[int32]bool{}
			for round := range 4 * len(test.steps) {
				for _, u := range j.ReadyUpTo(0, test.limit, scatter(round)) {
					reached[u.Tasks[0].Step] = true
				}
			}
			if len(reached) != len(test.steps) {
				t.Errorf("%d of %d steps are reached", len(reached), len(test.steps))
			}
		})
	}
}
