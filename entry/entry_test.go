package entry

import (
	"net/http"
	"strings"
	"testing"
	"time"

	"catkinpoint/stand/fakekv"
	"catkinpoint/wire"
)

// Guards against requests that are taken although they are wrong: each gets one
// clear error, nothing is written and nothing is sent.
func TestBadRequests(t *testing.T) {
	tests := []struct{ query, body, want string }{
		{"", "", "parameter customer is missing"},
		{"customer=c", "", "parameter job_class is missing"},
		{"customer=x&job_class=once", "", `customer \"x\" is not declared`},
		{"customer=c&job_class=x", "", `job_class \"x\" is not declared`},
		{"customer=c&job_class=once&tasks=0", "", "tasks"},
		{"customer=c&job_class=once&tasks=257", "", "tasks"},
		{"customer=c&job_class=once&tasks=many", "", "tasks"},
		{"customer=c&job_class=once&accelerators=-1", "", "accelerators"},
		{"customer=c&job_class=once&timeout=-1s", "", "timeout"},
		{"customer=c&job_class=once&timeout=soon", "", "timeout"},
		{"customer=c&job_class=once&detach=perhaps", "", "detach"},
		{"customer=c&job_class=once&colour=red", "", "parameter colour is not known"},
		{"customer=c&job_class=once&p.lease_ms=99999999", "", "parameter p.lease_ms is set by the system"},
		{"customer=c&job_class=once&p.resume_ms=5", "", "parameter p.resume_ms is set by the system"},
		{"customer=c&job_class=once", strings.Repeat("x", 101), "larger than 100 bytes"},
	}
	run(t, func(t *testing.T, w *world) {
		for _, test := range tests {
			answer := w.post(test.query, test.body)
			fate := answer.Header().Get(FateHeader)
			if answer.Code != http.StatusBadRequest || fate != "not_run" || !strings.Contains(answer.Body.String(), test.want) {
				t.Errorf("%s: %d %s %s; want 400 with %q", test.query, answer.Code, fate, answer.Body, test.want)
			}
		}
		if submits := w.fake.submitted(); len(w.records()) > 0 || len(submits) > 0 {
			t.Errorf("%d records and %d submissions of bad requests", len(w.records()), len(submits))
		}
	})
}

// Guards against commits on an old record: a scheduler gave the job back after
// it had written the record.
func TestRerouteRecord(t *testing.T) {
	run(t, func(t *testing.T, w *world) {
		var changed int64
		w.fake.submit = func(number int, request *wire.SubmitRequest) *wire.SubmitResponse {
			if number > 1 {
				if request.GetRecordRevision() != changed || request.GetRecord().GetResumeMs() != 7 {
					t.Errorf("second submission with revision %d, record %v; want %d", request.GetRecordRevision(), request.GetRecord(), changed)
				}
				return done()
			}
			changed = w.change(func(r *wire.JobRecord) { r.ResumeMs = 7 })
			return &wire.SubmitResponse{Reroute: true, Outcome: notRun("no room")}
		}
		if answer := w.post("customer=c&job_class=once", ""); answer.Code != http.StatusOK {
			t.Errorf("answer %d %s", answer.Code, answer.Body)
		}
	})
}

// Guards against "not run" for work that ran in a data centre before that gave
// the job back, with a record and without.
func TestRerouteAfterRun(t *testing.T) {
	for _, class := range []string{"once", "idem"} {
		t.Run(class, func(t *testing.T) {
			run(t, func(t *testing.T, w *world) {
				w.fake.submit = func(number int, _ *wire.SubmitRequest) *wire.SubmitResponse {
					if number == 1 {
						return &wire.SubmitResponse{Reroute: true, Outcome: &wire.Outcome{Fate: wire.Fate_FAILED, Reason: "moved"}}
					}
					return &wire.SubmitResponse{Outcome: notRun("cancelled")}
				}
				answer := w.post("customer=c&job_class="+class, "")
				if fate := answer.Header().Get(FateHeader); fate != "failed" {
					t.Errorf("fate %s, want failed", fate)
				}
				for _, record := range w.records() {
					if record.GetPhase() != wire.JobRecord_ENDED || record.GetOutcome().GetFate() != wire.Fate_FAILED {
						t.Errorf("record %v; want the end as failed", record)
					}
				}
			})
		})
	}
}

// Guards against jobs that nobody carries: the scheduler has lost the job, and
// its record is still accepted.
func TestUnknownIsCarriedOn(t *testing.T) {
	for _, detach := range []string{"", "&detach=true"} {
		t.Run(detach, func(t *testing.T) {
			run(t, func(t *testing.T, w *world) {
				w.fake.submit = func(number int, _ *wire.SubmitRequest) *wire.SubmitResponse {
					if number == 1 {
						return &wire.SubmitResponse{Outcome: unknown("another scheduler has taken the job")}
					}
					return done()
				}
				w.post("customer=c&job_class=once"+detach, "body")
				time.Sleep(10 * time.Second)
				if n := len(w.fake.submitted()); n != 2 {
					t.Errorf("%d submissions, want 2", n)
				}
			})
		})
	}
}

// Guards against records that stay accepted for good: the answers of the
// accepting write and of the reads after it were lost. The caller, told to come
// again, gets a run under the same key.
func TestLostAccept(t *testing.T) {
	run(t, func(t *testing.T, w *world) {
		w.fake.submit = func(int, *wire.SubmitRequest) *wire.SubmitResponse { return done() }
		w.store.SetFaults(fakekv.Everyone, fakekv.Faults{Slow: 1500 * time.Millisecond})
		answer := w.post("customer=c&job_class=once&key=k", "")
		if answer.Code != http.StatusGatewayTimeout || answer.Header().Get("Retry-After") == "" {
			t.Errorf("answer %d %s; want unknown with Retry-After", answer.Code, answer.Body)
		}
		w.store.ClearFaults()
		time.Sleep(10 * time.Second)
		for _, record := range w.records() {
			if record.GetPhase() != wire.JobRecord_ENDED || record.GetOutcome().GetFate() != wire.Fate_NOT_RUN {
				t.Errorf("record %v; want the end as not run", record)
			}
		}
		if n := len(w.fake.submitted()); n != 0 {
			t.Errorf("%d submissions, want none", n)
		}
		if answer := w.post("customer=c&job_class=once&key=k", ""); answer.Code != http.StatusOK {
			t.Errorf("second request: %d %s", answer.Code, answer.Body)
		}
	})
}

// Guards against the end of a later request under the same key: the answer to
// the write that ended the first one was lost.
func TestEnderSparesLaterRequest(t *testing.T) {
	run(t, func(t *testing.T, w *world) {
		hold := make(chan struct{})
		w.fake.submit = func(int, *wire.SubmitRequest) *wire.SubmitResponse {
			<-hold
			return done()
		}
		answered := make(chan struct{})
		go func() {
			defer close(answered)
			w.post("customer=c&job_class=once&key=k", "")
		}()
		time.Sleep(time.Second)
		first := w.records()[0].GetJob()
		first.SubmittedUnixMs--
		w.e.ender.add(first, notRun("given up"))
		time.Sleep(3 * endPeriod)
		w.e.ender.mu.Lock()
		pending := len(w.e.ender.pending)
		w.e.ender.mu.Unlock()
		if phase := w.records()[0].GetPhase(); phase != wire.JobRecord_ACCEPTED || pending != 0 {
			t.Errorf("record in phase %s, %d ends pending; want it accepted, and none", phase, pending)
		}
		close(hold)
		<-answered
	})
}

// Guards against the answer to another request: the key is the same, and what
// the endpoint gets is not.
func TestKeyReused(t *testing.T) {
	run(t, func(t *testing.T, w *world) {
		w.fake.submit = func(int, *wire.SubmitRequest) *wire.SubmitResponse {
			w.change(func(r *wire.JobRecord) { r.Phase, r.Outcome = wire.JobRecord_ENDED, done().GetOutcome() })
			return done()
		}
		const first = "customer=c&job_class=once&key=k&p.pew=1"
		for _, test := range []struct {
			query string
			code  int
		}{
			{first, http.StatusOK},
			{first, http.StatusOK},
			{"customer=c&job_class=once&key=k&p.pew=2", http.StatusUnprocessableEntity},
			{"customer=c&job_class=once&key=k&p.pew=1&tasks=2", http.StatusUnprocessableEntity},
		} {
			if answer := w.post(test.query, ""); answer.Code != test.code {
				t.Errorf("%s: %d %s, want %d", test.query, answer.Code, answer.Body, test.code)
			}
		}
		if n := len(w.fake.submitted()); n != 1 {
			t.Errorf("%d submissions, want 1", n)
		}
	})
}

// Guards against answers that are held back: the scheduler is silent when the
// deadline passes, also for the cancellation.
func TestAnswerAtDeadline(t *testing.T) {
	run(t, func(t *testing.T, w *world) {
		hold := make(chan struct{})
		defer close(hold)
		w.fake.silent = hold
		w.fake.submit = func(int, *wire.SubmitRequest) *wire.SubmitResponse {
			<-hold
			return done()
		}
		for _, class := range []string{"idem", "once"} {
			began := time.Now()
			answer := w.post("customer=c&timeout=1s&job_class="+class, "")
			took := time.Since(began)
			if took > 1100*time.Millisecond || answer.Code != http.StatusGatewayTimeout || answer.Header().Get("Retry-After") == "" {
				t.Errorf("%s: %d after %s, Retry-After %q", class, answer.Code, took, answer.Header().Get("Retry-After"))
			}
		}
	})
}

// Guards against adopted jobs that nobody carries, that lose their body, or
// that are told to be not run after they ran, and against the end of the jobs of
// an entry that lacks its registration for a moment.
func TestAdoption(t *testing.T) {
	run(t, func(t *testing.T, w *world) {
		w.fake.submit = func(int, *wire.SubmitRequest) *wire.SubmitResponse {
			return &wire.SubmitResponse{Outcome: unknown("held")}
		}
		w.post("customer=c&job_class=once&detach=true", "body")
		time.Sleep(time.Second)
		w.change(func(r *wire.JobRecord) { r.AcceptedBy = "gone" })
		time.Sleep(10 * time.Second) // the first carrier leaves the job to the other entry
		w.fake.submitted()
		other := &view{entries: []*wire.EntryRegistration{{BootId: "gone"}}}
		w.e.adoptJobs(t.Context(), other)
		time.Sleep(adoptionGrace)
		w.e.adoptJobs(t.Context(), other)
		w.e.adoptJobs(t.Context(), &view{})
		time.Sleep(time.Second)
		if len(w.fake.submitted()) != 0 {
			t.Errorf("adopted at once")
		}
		time.Sleep(adoptionGrace)
		w.store.SetFaults(fakekv.Everyone, fakekv.Faults{LoseNext: 1, LosePrefix: "job/"})
		w.e.adoptJobs(t.Context(), &view{})
		w.e.adoptJobs(t.Context(), &view{})
		time.Sleep(time.Second)
		if submits := w.fake.submitted(); len(submits) != 1 || string(submits[0].GetBody()) != "body" {
			t.Errorf("submissions %v; want one with the body", submits)
		}
	})
	run(t, func(t *testing.T, w *world) {
		w.fake.submit = func(int, *wire.SubmitRequest) *wire.SubmitResponse { return done() }
		w.post("customer=c&job_class=once", "")
		w.change(func(r *wire.JobRecord) { r.AcceptedBy, r.Earlier = "gone", wire.Fate_FAILED })
		w.e.adoptJobs(t.Context(), &view{})
		time.Sleep(adoptionGrace)
		w.e.adoptJobs(t.Context(), &view{})
		if got := w.records()[0].GetOutcome().GetFate(); got != wire.Fate_FAILED {
			t.Errorf("fate %s, want FAILED", got)
		}
	})
}
