package fakekv

import (
	"math/rand/v2"
	"strings"
	"time"
)

// Everyone as the name of a caller means all callers.
const Everyone = ""

// Faults are the faults in force for one caller or for all.
type Faults struct {
	// Down refuses every call, also those that wait.
	Down bool
	// Slow delays every call before it takes effect. A write whose caller
	// gives up meanwhile still takes effect at the end of the delay.
	Slow time.Duration
	// LoseNext loses the answers of the next writes that take effect.
	LoseNext int
	// LoseProbability loses the answer of each write, from 0 to 1.
	LoseProbability float64
	// LosePrefix limits lost answers to keys with this prefix, so that it
	// excludes calls on leases; empty means all writes.
	LosePrefix string
	// Seed makes the losses by probability repeatable.
	Seed uint64
}

// faultState is one caller's faults with what they have used up.
type faultState struct {
	Faults
	random *rand.Rand
}

func newFaultState(f Faults) *faultState {
	return &faultState{Faults: f, random: rand.New(rand.NewPCG(f.Seed, f.Seed))}
}

// loses decides on the answer of one write.
func (f *faultState) loses(key string, tookEffect bool) bool {
	if !strings.HasPrefix(key, f.LosePrefix) {
		return false
	}
	if f.LoseNext > 0 && tookEffect {
		f.LoseNext--
		return true
	}
	return f.LoseProbability > 0 && f.random.Float64() < f.LoseProbability
}
