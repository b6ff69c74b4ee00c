package graph

import (
	"slices"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"catkinpoint/flow"
)

// crashes returns crashes of runs 1, 2 and so on, a second apart.
func crashes(suspicions ...flow.Suspicion) []Crash {
	var list []Crash
	for i, s := range suspicions {
		list = append(list, Crash{Run: int64(i + 1), Worker: "w", WorkerStartMS: 7, Age: 10 * time.Millisecond, UnixMS: int64(1000 * (i + 1)), Suspicion: s})
	}
	return list
}

// aged returns n crashes like those of crashes, at one age.
func aged(age time.Duration, suspicion flow.Suspicion, n int, alone bool) []Crash {
	list := crashes(slices.Repeat([]flow.Suspicion{suspicion}, n)...)
	for i := range list {
		list[i].Age, list[i].Alone = age, alone
	}
	return list
}

func TestJobFailsAfterCrashes(t *testing.T) {
	const (
		outage    = flow.Suspicion_OUTAGE
		bystander = flow.Suspicion_BYSTANDER
		possible  = flow.Suspicion_POSSIBLE
		probable  = flow.Suspicion_PROBABLE
		doubtful  = flow.Suspicion_DOUBTFUL
	)
	tests := []struct {
		name    string
		crashes []Crash
		suspect bool
		want    flow.Phase
	}{
		{"one probable", crashes(probable), true, flow.Phase_QUEUED},
		{"two probable", crashes(probable, probable), true, flow.Phase_FAILED},
		{"one possible, freshly started", crashes(possible), true, flow.Phase_QUEUED},
		{"one possible, after some time", []Crash{{Run: 1, Age: 5 * time.Second, UnixMS: 1000, Suspicion: possible}}, false, flow.Phase_QUEUED},
		{"probable and possible", crashes(probable, possible), true, flow.Phase_QUEUED},
		{"two probable at different ages", []Crash{{Run: 1, Age: 0, UnixMS: 1000, Suspicion: probable}, {Run: 2, Age: 5 * time.Second, UnixMS: 2000, Suspicion: probable}}, true, flow.Phase_QUEUED},
		{"three possible", crashes(possible, possible, possible), true, flow.Phase_QUEUED},
		{"four possible", crashes(possible, possible, possible, possible), true, flow.Phase_FAILED},
		{"seven times a bystander", crashes(bystander, bystander, bystander, bystander, bystander, bystander, bystander), true, flow.Phase_QUEUED},
		{"outages", crashes(outage, outage, outage, outage), false, flow.Phase_QUEUED},
		{"outages long after the start", []Crash{
			{Run: 1, Age: time.Second, UnixMS: 1000, Suspicion: outage},
			{Run: 2, Age: -1, UnixMS: 2000, Suspicion: outage},
			{Run: 3, Age: time.Second, UnixMS: 3000, Suspicion: outage},
			{Run: 4, Age: time.Second, UnixMS: 4000, Suspicion: outage},
			{Run: 5, Age: time.Second, UnixMS: 5000, Suspicion: outage},
			{Run: 6, Age: time.Second, UnixMS: 6000, Suspicion: outage},
		}, false, flow.Phase_QUEUED},
		{"doubtful, beside others", aged(time.Second, doubtful, 6, false), true, flow.Phase_QUEUED},
		{"doubtful four times, alone", aged(time.Second, doubtful, 4, true), true, flow.Phase_QUEUED},
		{"doubtful five times, alone, after the same time", aged(time.Second, doubtful, 5, true), true, flow.Phase_FAILED},
		{"doubtful, alone, and a run that lasted longer", append(aged(time.Second, doubtful, 5, true), Crash{Run: 6, Age: 5 * time.Second, UnixMS: 6000, Suspicion: outage}), true, flow.Phase_QUEUED},
		{"doubtful once", aged(time.Second, doubtful, 1, true), false, flow.Phase_QUEUED},
		{"five at the start, most of them outages", crashes(outage, outage, outage, probable, outage), true, flow.Phase_FAILED},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			spec := &flow.Job{Id: "a", Steps: []*flow.Step{{Count: 2}}}
			j := New(spec, nil)
			for _, c := range test.crashes {
				j.AddCrash(Ref{}, c)
			}
			// A scheduler that takes over knows the same from the stored record.
			data, err := proto.Marshal(j.CrashRecord())
			if err != nil {
				t.Fatal(err)
			}
			record := &flow.JobCrashes{}
			if err := proto.Unmarshal(data, record); err != nil {
				t.Fatal(err)
			}
			restored := New(spec, nil)
			restored.LoadCrashes(record)
			for name, j := range map[string]*Job{"recorded": j, "restored": restored} {
				if got := j.Suspect(Ref{}); got != test.suspect {
					t.Errorf("%s: suspect %t; want %t", name, got, test.suspect)
				}
				last := test.crashes[len(test.crashes)-1].UnixMS
				if j.Advance(last + 100); j.Phase != flow.Phase_QUEUED {
					t.Errorf("%s: phase %v before the last crash has settled", name, j.Phase)
				}
				if j.Advance(last + 1000); j.Phase != test.want {
					t.Errorf("%s: phase %v; want %v", name, j.Phase, test.want)
				}
			}
		})
	}
}

// The members of a gang run and fail together, so that each crash counts once for the
// gang, whichever member was on the worker. A job is not given up before two workers have
// crashed under one of its tasks.
func TestCrashesOfGangCountTogether(t *testing.T) {
	j := New(&flow.Job{Id: "a", Steps: []*flow.Step{{Count: 3, Gang: true}}}, nil)
	for index := range int32(2) {
		j.AddCrash(Ref{Index: index}, Crash{Run: 1, UnixMS: 1000, Suspicion: flow.Suspicion_PROBABLE})
	}
	if crashes := j.UnitCrashes(Ref{}); len(crashes) != 1 {
		t.Errorf("%d crashes of the gang after one run in which two workers crashed", len(crashes))
	}
	if j.Advance(9000); j.Phase != flow.Phase_QUEUED {
		t.Errorf("phase %v after one run in which two workers crashed", j.Phase)
	}
	if !j.AddCrash(Ref{Index: 2}, Crash{Run: 2, UnixMS: 2000, Suspicion: flow.Suspicion_PROBABLE}) {
		t.Error("the crash of another run was taken for a known one")
	}
	if j.AddCrash(Ref{Index: 2}, Crash{Run: 2, UnixMS: 2000, Suspicion: flow.Suspicion_PROBABLE}) {
		t.Error("the same crash was counted twice")
	}
	if j.Advance(9000); j.Phase != flow.Phase_QUEUED || !j.Suspect(Ref{}) {
		t.Errorf("phase %v, suspect %t after one crash under each member; want a suspect that runs again", j.Phase, j.Suspect(Ref{}))
	}
	j.AddCrash(Ref{Index: 2}, Crash{Run: 3, UnixMS: 3000, Suspicion: flow.Suspicion_PROBABLE})
	if j.Advance(9000); j.Phase != flow.Phase_FAILED {
		t.Errorf("phase %v after two crashes under a member; want FAILED", j.Phase)
	}
}
