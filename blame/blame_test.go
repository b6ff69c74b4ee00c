package blame

import (
	"slices"
	"testing"
	"time"

	"catkinpoint/flow"
)

func TestJudge(t *testing.T) {
	const (
		bystander = flow.Suspicion_BYSTANDER
		possible  = flow.Suspicion_POSSIBLE
		probable  = flow.Suspicion_PROBABLE
	)
	type runs = []Run[string]
	type ages = []time.Duration
	tests := []struct {
		name      string
		runs      runs
		want      []flow.Suspicion
		explained bool
	}{
		{"a fresh start among old runs", runs{{Job: "new", Age: 10 * time.Millisecond}, {Job: "old", Age: 5 * time.Second}, {Job: "unknown", Age: UnknownAge}}, []flow.Suspicion{probable, bystander, bystander}, true},
		{"a start shortly after another", runs{{Job: "a", Age: 10 * time.Millisecond}, {Job: "b", Age: 220 * time.Millisecond}}, []flow.Suspicion{probable, bystander}, true},
		{"fresh starts of two jobs", runs{{Job: "a", Age: 10 * time.Millisecond}, {Job: "b", Age: 100 * time.Millisecond}, {Job: "old", Age: 5 * time.Second}}, []flow.Suspicion{possible, possible, bystander}, true},
		{"fresh starts of one job", runs{{Job: "a", Age: 0}, {Job: "a", Age: 20 * time.Millisecond}, {Job: "old", Age: 5 * time.Second}}, []flow.Suspicion{probable, probable, bystander}, true},
		{"a fresh start that crashed a worker before, beside another", runs{{Job: "a", Age: 10 * time.Millisecond, Earlier: ages{12 * time.Millisecond}}, {Job: "b", Age: 0}}, []flow.Suspicion{probable, bystander}, true},
		{"a start too long before", runs{{Job: "a", Age: 900 * time.Millisecond}, {Job: "b", Age: 2 * time.Second}}, []flow.Suspicion{possible, possible}, false},
		{"two that were fresh in crashes before, one more often", runs{{Job: "a", Age: 0, Earlier: ages{0, 10 * time.Millisecond}}, {Job: "b", Age: 0, Earlier: ages{0}}}, []flow.Suspicion{probable, bystander}, true},
		{"two that were fresh in as many crashes", runs{{Job: "a", Age: 0, Earlier: ages{0}}, {Job: "b", Age: 0, Earlier: ages{0}}}, []flow.Suspicion{possible, possible}, true},
		{"only old runs", runs{{Job: "a", Age: 4 * time.Second}, {Job: "b", Age: 9 * time.Second}}, []flow.Suspicion{possible, possible}, false},
		{"one old run", runs{{Job: "a", Age: 4 * time.Second}}, []flow.Suspicion{possible}, false},
		{"an old run at the age of its first crash", runs{{Job: "a", Age: 4 * time.Second, Earlier: ages{5 * time.Second}}, {Job: "b", Age: 9 * time.Second}}, []flow.Suspicion{probable, bystander}, true},
		{"an old run at the age of its first crash, beside a fresh start", runs{{Job: "a", Age: 4 * time.Second, Earlier: ages{5 * time.Second}}, {Job: "b", Age: 0}}, []flow.Suspicion{bystander, probable}, true},
		{"a suspect that has outlived its first crash, beside a fresh start", runs{{Job: "a", Age: 9 * time.Second, Earlier: ages{10 * time.Millisecond}}, {Job: "b", Age: 0}}, []flow.Suspicion{bystander, probable}, true},
		{"unknown ages", runs{{Job: "a", Age: UnknownAge, Earlier: ages{UnknownAge}}}, []flow.Suspicion{possible}, false},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			got := Judge(test.runs)
			if !slices.Equal(got.Suspicions, test.want) || got.Explained != test.explained {
				t.Errorf("got %v, explained %t; want %v, %t", got.Suspicions, got.Explained, test.want, test.explained)
			}
		})
	}
}

func TestProbation(t *testing.T) {
	tests := []struct{ age, want time.Duration }{
		{10 * time.Millisecond, time.Second},
		{3 * time.Second, 6 * time.Second},
		{time.Minute, 10 * time.Second},
		{UnknownAge, time.Second},
	}
	for _, test := range tests {
		if got := Probation([]time.Duration{test.age}); got != test.want {
			t.Errorf("after a crash at the age of %v: %v; want %v", test.age, got, test.want)
		}
	}
}
