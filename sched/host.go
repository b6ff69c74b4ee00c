package sched

import (
	"context"
	"fmt"
	"sync"
	"time"

	"catkinpoint/wire"
)

// Host answers the calls for all duties that one process holds.
type Host struct {
	mu         sync.RWMutex
	schedulers map[string]*Scheduler // by data centre
}

// NewHost returns a host without duties.
func NewHost() *Host { return &Host{schedulers: make(map[string]*Scheduler)} }

// Add makes the scheduler answer for its data centre.
func (h *Host) Add(s *Scheduler) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.schedulers[s.opts.DataCentre] = s
}

// Remove takes the scheduler out, unless another has replaced it.
func (h *Host) Remove(s *Scheduler) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.schedulers[s.opts.DataCentre] == s {
		delete(h.schedulers, s.opts.DataCentre)
	}
}

// Get returns the scheduler of the data centre, or nil.
func (h *Host) Get(dc string) *Scheduler {
	h.mu.RLock()
	defer h.mu.RUnlock()
	return h.schedulers[dc]
}

// All returns the schedulers of all duties.
func (h *Host) All() []*Scheduler {
	h.mu.RLock()
	defer h.mu.RUnlock()
	list := make([]*Scheduler, 0, len(h.schedulers))
	for _, s := range h.schedulers {
		list = append(list, s)
	}
	return list
}

// Service is the net/rpc receiver of a host.
type Service struct{ host *Host }

// NewService returns the receiver for host.
func NewService(host *Host) *Service { return &Service{host: host} }

// Report takes an agent's report.
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

// Submit takes a job and answers with its outcome.
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

// ErrNotHolder means that the process does not hold the duty.
var ErrNotHolder = Error.New("this process does not schedule the data centre")

// Cancel stops a job.
func (v *Service) Cancel(request *wire.CancelRequest, _ *wire.Ping) error {
	s := v.host.Get(request.GetDataCentre())
	if s == nil {
		return fmt.Errorf("cancelling %s: %w", request.GetJobId(), ErrNotHolder)
	}
	_, err := s.Cancel(context.Background(), request.GetJobId(), request.GetReason())
	return err
}

// JobStatus tells how far a job has come.
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
