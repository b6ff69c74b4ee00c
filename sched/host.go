package sched

import (
	"context"
	"fmt"
	"sync"
	"time"

	"catkinpoint/wire"
)

// Host holds the schedulers of all data centres whose duty one process holds.
type Host struct {
	mu         sync.RWMutex
	schedulers map[string]*Scheduler // by data centre
}

// NewHost returns a host without schedulers.
func NewHost() *Host { return &Host{schedulers: make(map[string]*Scheduler)} }

// Add makes s the scheduler of its data centre.
func (h *Host) Add(s *Scheduler) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.schedulers[s.opts.DataCentre] = s
}

// Remove removes the scheduler, unless another has replaced it.
func (h *Host) Remove(s *Scheduler) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.schedulers[s.opts.DataCentre] == s {
		delete(h.schedulers, s.opts.DataCentre)
	}
}

// Get returns the scheduler of the data centre, or nil if the host has none.
func (h *Host) Get(dc string) *Scheduler {
	h.mu.RLock()
	defer h.mu.RUnlock()
	return h.schedulers[dc]
}

// All returns all schedulers, in no particular order.
func (h *Host) All() []*Scheduler {
	h.mu.RLock()
	defer h.mu.RUnlock()
	list := make([]*Scheduler, 0, len(h.schedulers))
	for _, s := range h.schedulers {
		list = append(list, s)
	}
	return list
}

// Service is the net/rpc receiver that passes calls to the schedulers of a host.
type Service struct{ host *Host }

// NewService returns the net/rpc receiver for host.
func NewService(host *Host) *Service { return &Service{host: host} }

// Report handles an agent's report; see Scheduler.Report.
func (v *Service) Report(request *wire.Report, response *wire.ReportResponse) error {
	s := v.host.Get(request.GetDataCentre())
	if s == nil {
		response.NotHolder = true
		return nil
	}
	answer, err := s.Report(context.Background(), request)
	if err != nil {
		return err
	}
	response.Epoch, response.Permit = answer.GetEpoch(), answer.GetPermit()
	response.Settled, response.NotHolder = answer.GetSettled(), answer.GetNotHolder()
	return nil
}

// Submit submits a job and answers with its outcome; see Scheduler.Submit.
func (v *Service) Submit(request *wire.SubmitRequest, response *wire.SubmitResponse) error {
	s := v.host.Get(request.GetDataCentre())
	if s == nil {
		response.JobId, response.NotHolder = request.GetJob().GetId(), true
		return nil
	}
	answer, err := s.Submit(context.Background(), request)
	if err != nil {
		return err
	}
	response.JobId, response.Outcome, response.Reroute = answer.GetJobId(), answer.GetOutcome(), answer.GetReroute()
	return nil
}

// ErrNotHolder means that the process does not hold the duty of the data centre.
var ErrNotHolder = Error.New("this process does not schedule the data centre")

// Cancel stops a job; see Scheduler.Cancel.
func (v *Service) Cancel(request *wire.CancelRequest, _ *wire.Ping) error {
	s := v.host.Get(request.GetDataCentre())
	if s == nil {
		return fmt.Errorf("cancelling %s: %w", request.GetJobId(), ErrNotHolder)
	}
	_, err := s.Cancel(context.Background(), request.GetJobId(), request.GetReason())
	return err
}

// JobStatus returns the phase and outcome of a job; see Scheduler.JobStatus. A
// job of a data centre without a scheduler here is answered as not found.
func (v *Service) JobStatus(request *wire.JobStatusRequest, response *wire.JobStatusResponse) error {
	s := v.host.Get(request.GetDataCentre())
	if s == nil {
		return nil
	}
	answer, err := s.JobStatus(context.Background(), request.GetJobId(), time.Duration(request.GetWaitMs())*time.Millisecond)
	if err != nil {
		return err
	}
	response.Found, response.Phase, response.Outcome = answer.GetFound(), answer.GetPhase(), answer.GetOutcome()
	return nil
}
