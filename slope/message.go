package slope

import (
	"fmt"

	"github.com/google/uuid"
	"google.golang.org/protobuf/proto"

	"catkinpoint/wire"
)

// MessageKind is a kind of message whose length depends on one number, its size.
type MessageKind struct {
	Name  string
	Input string // what the size counts; empty for a message of one size
	Sizes []int  // at which the message is measured
	Build func(size int) proto.Message
}

// Messages returns the kinds of messages that processes exchange for control or
// write to the store.
func Messages() []MessageKind {
	return []MessageKind{
		{"Report", "tasks", []int{0, 4, 8, 16}, func(n int) proto.Message { return newReport(0, n) }},
		{"ReportResponse with permit", "settled attempts", []int{0, 4, 8, 16}, newReportResponse},
		{"PrepareRequest", "body bytes", []int{0, 1 << 10, 16 << 10, 64 << 10}, newPrepareRequest},
		{"StartRequest", "members", []int{1, 8, 64, 256}, newStartRequest},
		{"JoinRequest", "", []int{1}, newJoinRequest},
		{"JoinResponse", "", []int{1}, func(int) proto.Message { return &wire.JoinResponse{Go: true} }},
		{"StatusResponse", "duties", []int{0, 1, 2, 4}, newStatusResponse},
		{"EntryRegistration", "", []int{1}, newEntryRegistration},
		{"JobRecord", "members", []int{1, 8, 64, 256}, newJobRecordMessage},
	}
}

// Values with the lengths and magnitudes that they have in deployments. The numbers
// are not round, so that their varints have the usual length. agentCount is the
// number of agents at the target size.
const (
	sampleEpoch   = 1_234
	sampleVersion = 2_345_678
	sampleUnixMS  = 1_790_000_000_123
	sampleRunMS   = 7_654_321
	agentCount    = 5600
)

// sampleUUID returns a UUID that depends on its arguments only.
func sampleUUID(kind string, i int) string {
	return uuid.NewSHA1(uuid.NameSpaceOID, fmt.Append(nil, kind, i)).String()
}

func attemptID(i int) string {
	return sampleUUID("job", i) + "/1"
}

func workerName(i int) string {
	return fmt.Sprintf("sainte-foy-r%03d-w%02d", i/3, i%3)
}

func agentAddress(i int) string {
	return fmt.Sprintf("10.%d.%d.%d:7301", 100+i>>16, i>>8&0xff, i&0xff)
}

func newTaskStatus(i int) *wire.TaskStatus {
	return &wire.TaskStatus{
		Attempt:      attemptID(i),
		State:        wire.TaskState_TASK_RUNNING,
		Started:      true,
		Accelerators: 1,
		JobId:        sampleUUID("job", i),
		RunMs:        sampleRunMS,
		BusyShare:    0.9375,
	}
}

func newReport(worker, tasks int) *wire.Report {
	r := &wire.Report{
		Worker:       workerName(worker),
		BootId:       sampleUUID("boot", worker),
		Address:      agentAddress(worker),
		DataCentre:   "sainte-foy",
		Rack:         fmt.Sprintf("sainte-foy-r%03d", worker/3),
		Service:      "planrestauro",
		Accelerators: 8,
		Slots:        8,
		Epoch:        sampleEpoch,
		Version:      sampleVersion,
		Sequence:     sampleRunMS,
	}
	for i := range tasks {
		r.Tasks = append(r.Tasks, newTaskStatus(i))
	}
	return r
}

func newReportResponse(settled int) proto.Message {
	r := &wire.ReportResponse{
		Epoch: sampleEpoch,
		Permit: &wire.Permit{
			DataCentre: "sainte-foy",
			InService:  true,
			Version:    sampleVersion,
			AgeMs:      432,
		},
	}
	for i := range settled {
		r.Settled = append(r.Settled, attemptID(i))
	}
	return r
}

func newJob(i int) *wire.Job {
	return &wire.Job{
		Id:              sampleUUID("job", i),
		Customer:        fmt.Sprintf("team-%03d", i%300),
		JobClass:        "training-large",
		Service:         "planrestauro",
		Key:             sampleUUID("key", i),
		Tasks:           64,
		Accelerators:    8,
		Adjacency:       "data_centre",
		Checkpointable:  true,
		ExpectedRunMs:   sampleRunMS,
		StopMs:          5000,
		SubmittedUnixMs: sampleUnixMS,
	}
}

func newPrepareRequest(bodyBytes int) proto.Message {
	return &wire.PrepareRequest{
		Epoch:   sampleEpoch,
		Attempt: attemptID(0),
		Job:     newJob(0),
		Rank:    63,
		Body:    make([]byte, bodyBytes),
		BootId:  sampleUUID("boot", 0),
	}
}

func newStartRequest(members int) proto.Message {
	r := &wire.StartRequest{Epoch: sampleEpoch, Attempt: attemptID(0), BootId: sampleUUID("boot", 0)}
	for i := range members {
		r.Members = append(r.Members, &wire.Member{
			Rank:         int32(i),
			Worker:       workerName(i),
			AgentAddress: agentAddress(i),
			BootId:       sampleUUID("boot", i),
			Accelerators: 8,
			Attempt:      taskAttemptID(0, i),
		})
	}
	return r
}

// taskAttemptID returns the ID of an attempt of one task in the scheduler's format.
func taskAttemptID(job, rank int) string {
	return fmt.Sprintf("%s.%d.1-%d", sampleUUID("job", job), sampleEpoch, rank)
}

func newJoinRequest(int) proto.Message {
	return &wire.JoinRequest{
		Attempt:      attemptID(0),
		Rank:         63,
		State:        wire.TaskState_TASK_WAITING,
		BootId:       sampleUUID("boot", 63),
		PermitLeftMs: 2345,
	}
}

func newStatusResponse(duties int) proto.Message {
	r := &wire.StatusResponse{Id: "entry-sainte-foy-0", Version: sampleVersion, StoreReachable: true}
	for i := range duties {
		r.Duties = append(r.Duties, &wire.DutyStatus{
			DataCentre: dataCentreName(i), Epoch: sampleEpoch, Workers: workersPerDataCentre, Accelerators: workersPerDataCentre * acceleratorsPerWorker,
			FreeAccelerators: 1860, Queued: 123, Running: 161, LowestAgentVersion: sampleVersion, Ready: true,
		})
	}
	return r
}

func newEntryRegistration(int) proto.Message {
	return &wire.EntryRegistration{
		Id: "entry-sainte-foy-0", RpcAddress: agentAddress(0), HttpAddress: agentAddress(1),
		DataCentre: "sainte-foy", Region: "quebec-capitale", BootId: sampleUUID("boot", 0),
	}
}

func newJobRecordMessage(members int) proto.Message { return newJobRecord(0, members) }

// newConfigObject returns a configuration object; successive i give its four kinds in
// turn.
func newConfigObject(i int) proto.Message {
	o := &wire.Object{Name: fmt.Sprintf("object-%05d", i), Revision: sampleVersion}
	switch i % 4 {
	case 0:
		o.Kind = "customer"
		o.Body = &wire.Object_Customer{Customer: &wire.Customer{AcceleratorQuota: 512, QueueLimit: 200, Weight: 1}}
	case 1:
		o.Kind = "guarantee"
		o.Body = &wire.Object_Guarantee{Guarantee: &wire.Guarantee{
			Customer: "team-123", Accelerators: 64, Adjacency: "rack", Count: 2,
			DataCentres: []string{"sainte-foy", "limoilou"}, ReclaimWithin: "30s",
		}}
	case 2:
		o.Kind = "service"
		o.Body = &wire.Object_Service{Service: &wire.Service{
			DataCentres: []string{"sainte-foy", "limoilou"}, Slots: 8, Connections: 64,
		}}
	default:
		o.Kind = "job_class"
		o.Body = &wire.Object_JobClass{JobClass: &wire.JobClass{
			Service: "planrestauro", Tasks: 64, Accelerators: 8, Adjacency: "data_centre",
			ExpectedRunTime: "2h0m0s", Checkpointable: true, StopTime: "5s", Deadline: "0s",
		}}
	}
	return o
}
