package intake

import (
	"testing"
	"time"
)

const (
	servingBytes = servingFactor * defaultSocketBytes
	bodyFactor   = defaultBodyFactor
)

var testLimits = LimitsOf(Resources{MemoryMB: 64, Connections: 160})

func TestLimitsOf(t *testing.T) {
	for _, c := range []struct {
		name        string
		r           Resources
		bytes       int64
		connections int
	}{
		{"a third of the memory", Resources{MemoryMB: 192, Descriptors: 4096}, 64 * bytesPerMB, 910},
		{"set", Resources{MemoryMB: 192, BudgetMB: 16, Connections: 100}, 16 * bytesPerMB, 100},
		{"no memory limit", Resources{}, 128 * bytesPerMB, 1820},
		{"descriptors", Resources{Descriptors: 1024}, 128 * bytesPerMB, 624},
		{"hardly any memory or descriptors", Resources{MemoryMB: 1, Descriptors: 64}, leastBudget, leastConnections},
	} {
		l := LimitsOf(c.r)
		if l.Bytes != c.bytes || l.Connections != c.connections {
			t.Errorf("%s: %+v", c.name, l)
		}
		ledger := NewLedger(l)
		h, _ := ledger.Open(0)
		if !ledger.Hold(h, servingBytes, false) || !ledger.Hold(h, bodyFactor*largeBytes, true) {
			t.Errorf("%s: the largest legal body is refused in calm", c.name)
		}
	}
}

// TestStoppedBodies replays the crowd that ended a process: large bodies that stop short of
// their end. What is held must stay within the limits, an ordinary request must find room,
// and after a while a large one too, by closing those that have stopped.
func TestStoppedBodies(t *testing.T) {
	l := NewLedger(testLimits)
	admitted := 0
	for n := range 300 {
		now := time.Duration(n) * time.Millisecond
		h, victim := l.Open(now)
		if victim != nil {
			l.Close(victim)
		}
		if h == nil {
			continue
		}
		h.enter(now, Sending)
		if l.Hold(h, servingBytes, false) && l.Hold(h, bodyFactor*largeBytes, true) {
			admitted++
			h.received = largeBytes - 50
		}
		if l.Held() > testLimits.Bytes {
			t.Fatalf("%d bytes are held after %d clients", l.Held(), n+1)
		}
	}
	if admitted == 0 {
		t.Fatal("no body was admitted")
	}
	now := 10 * time.Second
	ordinary, victim := l.Open(now)
	if victim != nil {
		l.Close(victim)
	}
	if ordinary == nil || !l.Hold(ordinary, servingBytes+bodyFactor*2000, false) {
		t.Fatal("an ordinary request finds no room")
	}
	for !l.Hold(ordinary, bodyFactor*largeBytes, true) {
		stopped := l.ForBytes(now, ordinary, true)
		if stopped == nil {
			t.Fatal("nobody is closed for a large body, though all others have stopped")
		}
		l.Close(stopped)
	}
}

func TestBehind(t *testing.T) {
	for _, c := range []struct {
		name     string
		phase    Phase
		after    time.Duration
		received int64
		others   bool // may be closed for others' bytes
	}{
		{"a steady large body", Sending, 3 * time.Second, 200 << 10, false},
		{"a body of a byte each second", Sending, 3 * time.Second, 3, true},
		{"a stopped body", Sending, 10 * time.Second, 261000, true},
		{"headers on their way", Heading, 100 * time.Millisecond, 100, false},
		{"stopped headers", Heading, time.Second, 15000, true},
		{"a request that is served", Serving, time.Minute, 0, false},
		{"answers that nobody reads", Answering, time.Second, 0, true},
	} {
		l := NewLedger(testLimits)
		h, _ := l.Open(0)
		h.enter(0, c.phase)
		h.received = c.received
		if victim := l.ForBytes(c.after, nil, false); (victim != nil) != c.others {
			t.Errorf("%s: to be closed for others: %v", c.name, victim != nil)
		}
	}
}

// TestSmallBesidesLarge guards against ordinary requests that wait behind large ones.
func TestSmallBesidesLarge(t *testing.T) {
	l := NewLedger(testLimits)
	for range 100 {
		h, _ := l.Open(0)
		l.Hold(h, servingBytes, false)
		l.Hold(h, bodyFactor*largeBytes, true)
	}
	for n := range 30 {
		h, _ := l.Open(0)
		if !l.Hold(h, servingBytes+bodyFactor*4000, false) {
			t.Fatalf("small request %d is refused", n)
		}
	}
}

// TestConnectionsAtTheLimit guards against new callers that are refused as long as other
// connections are open, and against the loss of a request that is being served.
func TestConnectionsAtTheLimit(t *testing.T) {
	for _, c := range []struct {
		name   string
		phases []Phase
		closed Phase
		none   bool
	}{
		{"an idle one first", []Phase{Sending, Heading, Idle, Serving}, Idle, false},
		{"then headers", []Phase{Sending, Serving, Heading}, Heading, false},
		{"then bodies", []Phase{Serving, Sending}, Sending, false},
		{"never one that is served", []Phase{Serving}, Serving, true},
	} {
		l := NewLedger(testLimits)
		for n := range testLimits.Connections - testLimits.Connections/spareShare {
			h, _ := l.Open(0)
			h.enter(0, c.phases[n%len(c.phases)])
		}
		h, victim := l.Open(time.Second)
		if h == nil || (victim == nil) != c.none || victim != nil && victim.phase != c.closed {
			t.Errorf("%s: admitted %v, closed %+v", c.name, h != nil, victim)
		}
	}
	l := NewLedger(testLimits)
	for range 2 * testLimits.Connections {
		if h, _ := l.Open(0); h != nil {
			h.enter(0, Serving)
		}
	}
	if l.Connections() != testLimits.Connections {
		t.Errorf("%d connections are open", l.Connections())
	}
}

// TestBodyDeadline guards against a caller inside the limits that is cut off in calm, and
// against one that keeps a body open with a byte now and then.
func TestBodyDeadline(t *testing.T) {
	const stall = 5 * time.Second
	for _, c := range []struct {
		now      time.Duration
		received int64
		want     time.Duration
	}{
		{0, 0, 5 * time.Second},
		{3 * time.Second, 100 << 10, 8 * time.Second},
		{4900 * time.Millisecond, 10, 5002 * time.Millisecond},
		{20 * time.Second, 64 << 10, 21 * time.Second},
	} {
		if got := bodyDeadline(c.now, 0, c.received, stall); got.Round(time.Millisecond) != c.want {
			t.Errorf("at %v with %d bytes: %v", c.now, c.received, got)
		}
	}
}

// TestWaitingForLarge guards against ordinary requests without room while a crowd waits
// for room for large bodies: what the kernel holds for the crowd fills the budget.
func TestWaitingForLarge(t *testing.T) {
	l := NewLedger(LimitsOf(Resources{MemoryMB: 64}))
	for range 200 {
		h, _ := l.Open(0)
		l.Hold(h, servingBytes, false)
		h.enter(0, Waiting)
		h.wantsLarge = true
	}
	for l.Connections() < 250 { // requests that are served take the rest
		h, _ := l.Open(0)
		for l.Hold(h, firstBytes, false) {
		}
		h.enter(0, Serving)
	}
	ordinary, _ := l.Open(time.Millisecond)
	if l.Hold(ordinary, servingBytes+bodyFactor*2000, false) {
		t.Fatal("the crowd leaves room")
	}
	for !l.Hold(ordinary, servingBytes+bodyFactor*2000, false) {
		waiting := l.ForBytes(time.Millisecond, ordinary, false)
		if waiting == nil {
			t.Fatal("an ordinary request finds no room")
		}
		l.Close(waiting)
	}
	if l.ForBytes(time.Millisecond, ordinary, true) != nil {
		t.Error("one that waits is closed for another large body")
	}
}

// TestHoldAfterClose guards against room that is never given back: the HTTP server closes
// idle connections while another goroutine may be reading from them.
func TestHoldAfterClose(t *testing.T) {
	l := NewLedger(testLimits)
	h, _ := l.Open(0)
	l.Close(h)
	if l.Hold(h, servingBytes, false) || l.Held() != 0 {
		t.Errorf("%d bytes are held for a closed connection", l.Held())
	}
}

// TestLargestChunkedBody guards against a legal body that takes a second large step only to
// see its end: bodies that hold the first step wait for each other then.
func TestLargestChunkedBody(t *testing.T) {
	const legalBytes = 262144
	taken := int64(0)
	for taken <= legalBytes {
		taken = nextReserve(taken, -1)
	}
	if taken > legalBytes+1 {
		t.Errorf("room for %d bytes is taken", taken)
	}
}

// TestWaitingAlike guards against honest callers that are closed while they wait: a hundred
// come at once, hold the same, and each would close the others after patience.
func TestWaitingAlike(t *testing.T) {
	l := NewLedger(testLimits)
	for range 20 {
		h, _ := l.Open(0)
		l.Hold(h, servingBytes, false)
		h.enter(0, Waiting)
	}
	asking, _ := l.Open(0)
	l.Hold(asking, servingBytes, false)
	asking.enter(0, Waiting)
	if l.ForBytes(waitTime, asking, false) != nil {
		t.Error("one that waits is closed for another one that holds the same")
	}
	l.Hold(l.holders.Front().Value.(*Holder), bodyFactor*firstBytes, false)
	if l.ForBytes(waitTime, asking, false) == nil {
		t.Error("one that waits and holds more is not closed")
	}
}

// TestLargeForOrdinaryOnly guards against honest callers with large bodies that are closed
// at once while they wait, as a body of unknown length takes its next step.
func TestLargeForOrdinaryOnly(t *testing.T) {
	l := NewLedger(testLimits)
	h, _ := l.Open(0)
	h.enter(0, Waiting)
	h.wantsLarge = true
	asking, _ := l.Open(0)
	l.Hold(asking, servingBytes, false)
	for _, c := range []struct {
		bytes  int64
		closes bool
	}{{bodyFactor * firstBytes, true}, {bodyFactor * smallBytes, false}} {
		asking.wants = c.bytes
		if victim := l.ForBytes(time.Millisecond, asking, false); (victim != nil) != c.closes {
			t.Errorf("for %d bytes: closed %v", c.bytes, victim != nil)
		}
	}
}
