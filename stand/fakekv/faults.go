package fakekv

import (
	"math/rand/v2"
	"strings"
	"time"
)

// AllCallers stands for all callers where the name of a caller is expected.
const AllCallers = ""

// Faults describes the faults of one caller or of all. The zero value means none.
type Faults struct {
	// Down refuses every call and ends the watches that wait.
	Down bool
	// Delay is added to every call before it takes effect. A write whose caller
	// gives up meanwhile still takes effect at the end of the delay.
	Delay time.Duration
	// LoseNext is the number of writes whose answers are lost from now on;
	// only writes that take effect count.
	LoseNext int
	// LoseProbability is the probability, from 0 to 1, that the answer of a
	// write is lost, whether or not it took effect.
	LoseProbability float64
	// LosePrefix limits lost answers to writes of keys with this prefix, which
	// excludes calls on leases because they have no key; empty means all writes.
	LosePrefix string
	// Seed seeds the random choice of LoseProbability, so that it is repeatable.
	Seed uint64
}

// faultState holds one caller's faults; LoseNext counts down as answers are lost.
type faultState struct {
	Faults
	random *rand.Rand
}

func newFaultState(f Faults) *faultState {
	return &faultState{Faults: f, random: rand.New(rand.NewPCG(f.Seed, f.Seed))}
}

// losesAnswer reports whether the answer of a write of key is lost, and uses up
// one of LoseNext or draws from the random source.
func (f *faultState) losesAnswer(key string, tookEffect bool) bool {
	if !strings.HasPrefix(key, f.LosePrefix) {
		return false
	}
	if f.LoseNext > 0 && tookEffect {
		f.LoseNext--
		return true
	}
	return f.LoseProbability > 0 && f.random.Float64() < f.LoseProbability
}
