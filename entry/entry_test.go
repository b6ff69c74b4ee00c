package entry

import (
	"net/http"
	"strings"
	"testing"
	"time"

	"catkinpoint/stand/fakekv"
	"catkinpoint/wire"
)

// TestInvalidRequestsAreRefused guards against invalid requests that are accepted:
// each must be answered with one clear error, with no record written and nothing
// sent to a scheduler.
func TestInvalidRequestsAreRefused(t *testing.T) {
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
	withEntry(t, func(t *testing.T, env *testEnv) {
		for _, test := range tests {
			answer := env.postJob(test.query, test.body)
			fate := answer.Header().Get(FateHeader)
			if answer.Code != http.StatusBadRequest || fate != "not_run" || !strings.Contains(answer.Body.String(), test.want) {
				t.Errorf("%s: %d %s %s; want 400 with %q", test.query, answer.Code, fate, answer.Body, test.want)
			}
		}
		if submits := env.scheduler.takeSubmits(); len(env.readRecords()) > 0 || len(submits) > 0 {
			t.Errorf("%d records and %d submissions of invalid requests, want none", len(env.readRecords()), len(submits))
		}
	})
}

// TestRerouteSendsCurrentRecord guards against a second scheduler that gets an
// outdated record and so cannot commit the job: the first one changed the record
// before it gave the job back.
func TestRerouteSendsCurrentRecord(t *testing.T) {
	withEntry(t, func(t *testing.T, env *testEnv) {
		var changedRevision int64
		env.scheduler.submit = func(number int, request *wire.SubmitRequest) *wire.SubmitResponse {
			if number > 1 {
				if request.GetRecordRevision() != changedRevision || request.GetRecord().GetResumeMs() != 7 {
					t.Errorf("second submission with revision %d, record %v; want revision %d and resume_ms 7", request.GetRecordRevision(), request.GetRecord(), changedRevision)
				}
				return doneResponse()
			}
			changedRevision = env.updateRecord(func(r *wire.JobRecord) { r.ResumeMs = 7 })
			return &wire.SubmitResponse{Reroute: true, Outcome: notRunOutcome("no room")}
		}
		if answer := env.postJob("customer=c&job_class=once", ""); answer.Code != http.StatusOK {
			t.Errorf("answer %d %s", answer.Code, answer.Body)
		}
	})
}

// TestRerouteKeepsEarlierFate guards against the fate "not run" for a job that ran
// in one data centre, which gave it back, and did not run in the next. The job has a
// record (once) or none (idem).
func TestRerouteKeepsEarlierFate(t *testing.T) {
	for _, class := range []string{"once", "idem"} {
		t.Run(class, func(t *testing.T) {
			withEntry(t, func(t *testing.T, env *testEnv) {
				env.scheduler.submit = func(number int, _ *wire.SubmitRequest) *wire.SubmitResponse {
					if number == 1 {
						return &wire.SubmitResponse{Reroute: true, Outcome: &wire.Outcome{Fate: wire.Fate_FAILED, Reason: "moved"}}
					}
					return &wire.SubmitResponse{Outcome: notRunOutcome("cancelled")}
				}
				answer := env.postJob("customer=c&job_class="+class, "")
				if fate := answer.Header().Get(FateHeader); fate != "failed" {
					t.Errorf("fate %s, want failed", fate)
				}
				for _, record := range env.readRecords() {
					if record.GetPhase() != wire.JobRecord_ENDED || record.GetOutcome().GetFate() != wire.Fate_FAILED {
						t.Errorf("record %v; want it ended as failed", record)
					}
				}
			})
		})
	}
}

// TestUnknownOutcomeIsDispatchedAgain guards against a job that is never run: the
// scheduler has lost the job while its record is still in phase ACCEPTED, so the
// entry must dispatch it again.
func TestUnknownOutcomeIsDispatchedAgain(t *testing.T) {
	for _, detach := range []string{"", "&detach=true"} {
		t.Run(detach, func(t *testing.T) {
			withEntry(t, func(t *testing.T, env *testEnv) {
				env.scheduler.submit = func(number int, _ *wire.SubmitRequest) *wire.SubmitResponse {
					if number == 1 {
						return &wire.SubmitResponse{Outcome: unknownOutcome("another scheduler has taken the job")}
					}
					return doneResponse()
				}
				env.postJob("customer=c&job_class=once"+detach, "body")
				time.Sleep(10 * time.Second)
				if n := len(env.scheduler.takeSubmits()); n != 2 {
					t.Errorf("%d submissions, want 2", n)
				}
			})
		})
	}
}

// TestAcceptWithLostAnswers guards against a record that stays in phase ACCEPTED
// forever: the store answered the write that accepts the job, and the reads after
// it, too late. The record must be ended as not run, and the caller, who is told to
// retry, must get a run with the same key.
func TestAcceptWithLostAnswers(t *testing.T) {
	withEntry(t, func(t *testing.T, env *testEnv) {
		env.scheduler.submit = func(int, *wire.SubmitRequest) *wire.SubmitResponse { return doneResponse() }
		env.store.SetFaults(fakekv.AllCallers, fakekv.Faults{Delay: 1500 * time.Millisecond})
		answer := env.postJob("customer=c&job_class=once&key=k", "")
		if answer.Code != http.StatusGatewayTimeout || answer.Header().Get("Retry-After") == "" {
			t.Errorf("answer %d %s; want unknown with Retry-After", answer.Code, answer.Body)
		}
		env.store.ClearFaults()
		time.Sleep(10 * time.Second)
		for _, record := range env.readRecords() {
			if record.GetPhase() != wire.JobRecord_ENDED || record.GetOutcome().GetFate() != wire.Fate_NOT_RUN {
				t.Errorf("record %v; want it ended as not run", record)
			}
		}
		if n := len(env.scheduler.takeSubmits()); n != 0 {
			t.Errorf("%d submissions, want none", n)
		}
		if answer := env.postJob("customer=c&job_class=once&key=k", ""); answer.Code != http.StatusOK {
			t.Errorf("second request: %d %s", answer.Code, answer.Body)
		}
	})
}

// TestEndRetryKeepsLaterRequest guards against an entry that ends the record of a
// later request with the same key, because the end of the first request is still
// pending: the answer to the write that ended it was lost.
func TestEndRetryKeepsLaterRequest(t *testing.T) {
	withEntry(t, func(t *testing.T, env *testEnv) {
		submitBlock := make(chan struct{})
		env.scheduler.submit = func(int, *wire.SubmitRequest) *wire.SubmitResponse {
			<-submitBlock
			return doneResponse()
		}
		answered := make(chan struct{})
		go func() {
			defer close(answered)
			env.postJob("customer=c&job_class=once&key=k", "")
		}()
		time.Sleep(time.Second)
		first := env.readRecords()[0].GetJob()
		first.SubmittedUnixMs--
		env.entry.endRetrier.add(first, notRunOutcome("given up"))
		time.Sleep(3 * endRetryPeriod)
		env.entry.endRetrier.mu.Lock()
		pending := len(env.entry.endRetrier.pending)
		env.entry.endRetrier.mu.Unlock()
		if phase := env.readRecords()[0].GetPhase(); phase != wire.JobRecord_ACCEPTED || pending != 0 {
			t.Errorf("record in phase %s, %d ends pending; want it accepted and none pending", phase, pending)
		}
		close(submitBlock)
		<-answered
	})
}

// TestKeyReused guards against a request that is answered with the outcome of
// another one: the key is the same, but what the endpoint gets differs.
func TestKeyReused(t *testing.T) {
	withEntry(t, func(t *testing.T, env *testEnv) {
		env.scheduler.submit = func(int, *wire.SubmitRequest) *wire.SubmitResponse {
			env.updateRecord(func(r *wire.JobRecord) { r.Phase, r.Outcome = wire.JobRecord_ENDED, doneResponse().GetOutcome() })
			return doneResponse()
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
			if answer := env.postJob(test.query, ""); answer.Code != test.code {
				t.Errorf("%s: %d %s, want %d", test.query, answer.Code, answer.Body, test.code)
			}
		}
		if n := len(env.scheduler.takeSubmits()); n != 1 {
			t.Errorf("%d submissions, want 1", n)
		}
	})
}

// TestAnswerAtDeadline guards against an answer that comes after the deadline: the
// scheduler answers neither the submission nor the cancellation that follows when
// the deadline passes.
func TestAnswerAtDeadline(t *testing.T) {
	withEntry(t, func(t *testing.T, env *testEnv) {
		submitBlock := make(chan struct{})
		defer close(submitBlock)
		env.scheduler.cancelBlock = submitBlock
		env.scheduler.submit = func(int, *wire.SubmitRequest) *wire.SubmitResponse {
			<-submitBlock
			return doneResponse()
		}
		for _, class := range []string{"idem", "once"} {
			began := time.Now()
			answer := env.postJob("customer=c&timeout=1s&job_class="+class, "")
			took := time.Since(began)
			if took > 1100*time.Millisecond || answer.Code != http.StatusGatewayTimeout || answer.Header().Get("Retry-After") == "" {
				t.Errorf("%s: %d after %s, Retry-After %q; want 504 with Retry-After by 1.1s", class, answer.Code, took, answer.Header().Get("Retry-After"))
			}
		}
	})
}

// TestAdoption guards against adopted jobs that are not dispatched, that lose their
// body, or that are reported as not run although they ran. It also guards against an
// entry that adopts or ends the jobs of another one that lacks its registration only
// briefly.
func TestAdoption(t *testing.T) {
	withEntry(t, func(t *testing.T, env *testEnv) {
		env.scheduler.submit = func(int, *wire.SubmitRequest) *wire.SubmitResponse {
			return &wire.SubmitResponse{Outcome: unknownOutcome("held")}
		}
		env.postJob("customer=c&job_class=once&detach=true", "body")
		time.Sleep(time.Second)
		env.updateRecord(func(r *wire.JobRecord) { r.AcceptedBy = "gone" })
		time.Sleep(10 * time.Second) // this entry stops dispatching the job, which another entry owns now
		env.scheduler.takeSubmits()
		ownerRegistered := &clusterView{entries: []*wire.EntryRegistration{{BootId: "gone"}}}
		env.entry.adoptJobs(t.Context(), ownerRegistered)
		time.Sleep(adoptionGrace)
		env.entry.adoptJobs(t.Context(), ownerRegistered)
		env.entry.adoptJobs(t.Context(), &clusterView{})
		time.Sleep(time.Second)
		if len(env.scheduler.takeSubmits()) != 0 {
			t.Errorf("the job was adopted before adoptionGrace had passed")
		}
		time.Sleep(adoptionGrace)
		env.store.SetFaults(fakekv.AllCallers, fakekv.Faults{LoseNext: 1, LosePrefix: "job/"})
		env.entry.adoptJobs(t.Context(), &clusterView{})
		env.entry.adoptJobs(t.Context(), &clusterView{})
		time.Sleep(time.Second)
		if submits := env.scheduler.takeSubmits(); len(submits) != 1 || string(submits[0].GetBody()) != "body" {
			t.Errorf("submissions %v; want one with the body", submits)
		}
	})
	withEntry(t, func(t *testing.T, env *testEnv) {
		env.scheduler.submit = func(int, *wire.SubmitRequest) *wire.SubmitResponse { return doneResponse() }
		env.postJob("customer=c&job_class=once", "")
		env.updateRecord(func(r *wire.JobRecord) { r.AcceptedBy, r.Earlier = "gone", wire.Fate_FAILED })
		env.entry.adoptJobs(t.Context(), &clusterView{})
		time.Sleep(adoptionGrace)
		env.entry.adoptJobs(t.Context(), &clusterView{})
		if got := env.readRecords()[0].GetOutcome().GetFate(); got != wire.Fate_FAILED {
			t.Errorf("fate %s, want FAILED", got)
		}
	})
}
