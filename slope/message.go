package slope

import (
	"fmt"

	"github.com/google/uuid"
	"google.golang.org/protobuf/proto"

	"catkinpoint/wire"
)

// Message is a kind of message whose size grows with one number.
type Message struct {
	Name  string
	Input string // what the size counts; empty for a message of one size
	Sizes []int
	Build func(size int) proto.Message
}

// Messages returns the messages of the control traffic between processes.
func Messages() []Message {
	return []Message{
		{"Report", "tasks", []int{0, 4, 8, 16}, func(n int) proto.Message { return newReport(0, n) }},
		{"ReportResponse with permit", "settled attempts", []int{0, 4, 8, 16}, newReportResponse},
		{"PrepareRequest", "body bytes", []int{0, 1 << 10, 16 << 10, 64 << 10}, newPrepare},
		{"StartRequest", "members", []int{1, 8, 64, 256}, newStart},
		{"JoinRequest", "", []int{1}, newJoin},
		{"JoinResponse", "", []int{1}, func(int) proto.Message { return &wire.JoinResponse{Go: true} }},
		{"StatusResponse", "duties", []int{0, 1, 2, 4}, newStatus},
		{"EntryRegistration", "", []int{1}, newRegistration},
		{"JobRecord", "members", []int{1, 8, 64, 256}, newRecord},
	}
}

// Values of the lengths and magnitudes that the deployments have. Numbers are
// not round, so that their varints have the usual length.
const (
	sampleEpoch   = 1_234
	sampleVersion = 2_345_678
	sampleUnixMS  = 1_790_000_000_123
	sampleRunMS   = 7_654_321
	sampleAgents  = 5600
)

// id returns a UUID that depends on i only.
func id(kind string, i int) string {
	return uuid.NewSHA1(uuid.NameSpaceOID, fmt.Append(nil, kind, i)).String()
}

func attempt(i int) string {
	return id("job", i) + "/1"
}

func workerName(i int) string {
	return fmt.Sprintf("sainte-foy-r%03d-w%02d", i/3, i%3)
}

func address(i int) string {
	return fmt.Sprintf("10.%d.%d.%d:7301", 100+i>>16, i>>8&0xff, i&0xff)
}

func newTask(i int) *wire.TaskStatus {
	return &wire.TaskStatus{
		Attempt:      attempt(i),
		State:        wire.TaskState_TASK_RUNNING,
		Started:      true,
		Accelerators: 1,
		JobId:        id("job", i),
		RunMs:        sampleRunMS,
		BusyShare:    0.9375,
	}
}

func newReport(worker, tasks int) *wire.Report {
	r := &wire.Report{
		Worker:       workerName(worker),
		BootId:       id("boot", worker),
		Address:      address(worker),
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
		r.Tasks = append(r.Tasks, newTask(i))
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
		r.Settled = append(r.Settled, attempt(i))
	}
	return r
}

func newJob(i int) *wire.Job {
	return &wire.Job{
		Id:              id("job", i),
		Customer:        fmt.Sprintf("team-%03d", i%300),
		JobClass:        "training-large",
		Service:         "planrestauro",
		Key:             id("key", i),
		Tasks:           64,
		Accelerators:    8,
		Adjacency:       "data_centre",
		Checkpointable:  true,
		ExpectedRunMs:   sampleRunMS,
		StopMs:          5000,
		SubmittedUnixMs: sampleUnixMS,
	}
}

func newPrepare(body int) proto.Message {
	return &wire.PrepareRequest{
		Epoch:   sampleEpoch,
		Attempt: attempt(0),
		Job:     newJob(0),
		Rank:    63,
		Body:    make([]byte, body),
		BootId:  id("boot", 0),
	}
}

func newStart(members int) proto.Message {
	r := &wire.StartRequest{Epoch: sampleEpoch, Attempt: attempt(0), BootId: id("boot", 0)}
	for i := range members {
		r.Members = append(r.Members, &wire.Member{
			Rank:         int32(i),
			Worker:       workerName(i),
			AgentAddress: address(i),
			BootId:       id("boot", i),
			Accelerators: 8,
			Attempt:      attemptOf(0, i),
		})
	}
	return r
}

// attemptOf is the id of one task as the scheduler makes it.
func attemptOf(job, rank int) string {
	return fmt.Sprintf("%s.%d.1-%d", id("job", job), sampleEpoch, rank)
}

func newJoin(int) proto.Message {
	return &wire.JoinRequest{
		Attempt:      attempt(0),
		Rank:         63,
		State:        wire.TaskState_TASK_WAITING,
		BootId:       id("boot", 63),
		PermitLeftMs: 2345,
	}
}

func newStatus(duties int) proto.Message {
	r := &wire.StatusResponse{Id: "entry-sainte-foy-0", Version: sampleVersion, StoreReachable: true}
	for i := range duties {
		r.Duties = append(r.Duties, &wire.DutyStatus{
			DataCentre: dataCentre(i), Epoch: sampleEpoch, Workers: sampleWorkers, Accelerators: sampleWorkers * sampleAccelerators,
			FreeAccelerators: 1860, Queued: 123, Running: 161, LowestAgentVersion: sampleVersion, Ready: true,
		})
	}
	return r
}

func newRegistration(int) proto.Message {
	return &wire.EntryRegistration{
		Id: "entry-sainte-foy-0", RpcAddress: address(0), HttpAddress: address(1),
		DataCentre: "sainte-foy", Region: "quebec-capitale", BootId: id("boot", 0),
	}
}

func newRecord(members int) proto.Message { return recordOf(0, members) }

// newObject returns one of the kinds of configuration objects in turn.
func newObject(i int) proto.Message {
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
