package entry

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/google/uuid"
	"golang.org/x/sync/errgroup"
	"k8s.io/klog/v2"

	"catkinpoint/clock"
	"catkinpoint/head"
	"catkinpoint/link"
	"catkinpoint/meter"
	"catkinpoint/sched"
)

// Entry is one entry process.
type Entry struct {
	opts      Options
	pool      *link.Pool
	server    *link.Server
	host      *sched.Host
	follower  *head.Follower
	publisher *head.Publisher
	view      atomic.Pointer[view] // registrations and duties as last read
	permits   *issuer
	duties    *duties
	poked     chan struct{} // asks for a refresh without waiting for the period
	meter     *meter.Meter
	admission *admission
	metrics   metrics
	leaving   atomic.Bool
	// storeRead is when the last read of the head that succeeded was sent, in
	// nanoseconds since the start.
	storeRead atomic.Int64
	start     time.Time
	traffic   sync.WaitGroup
	life      context.Context // ends with Run
	bootID    string
	adopted   adoption
	ender     *ender
	headSwept time.Time
}

// New returns an entry; Run starts it.
func New(opts Options, m *meter.Meter) (*Entry, error) {
	server, err := link.NewServer()
	if err != nil {
		return nil, fmt.Errorf("creating entry: %w", err)
	}
	e := &Entry{
		opts:     opts,
		pool:     link.NewPool(opts.Dial),
		server:   server,
		host:     sched.NewHost(),
		follower: head.NewFollower(opts.Store),

		meter:     m,
		admission: newAdmission(opts),
		start:     time.Now(),
		headSwept: time.Now(),
		poked:     make(chan struct{}, 1),
		bootID:    uuid.NewString(),
	}
	e.publisher = head.NewPublisher(e.follower, head.Options{})
	e.view.Store(new(view))
	e.permits = newIssuer(e)
	e.duties = newDuties(e)
	e.ender = newEnder(e)
	if err := server.Register("Sched", sched.NewService(e.host)); err != nil {
		return nil, fmt.Errorf("creating entry: %w", err)
	}
	if err := server.Register("Entry", &service{entry: e}); err != nil {
		return nil, fmt.Errorf("creating entry: %w", err)
	}
	if err := e.metrics.register(e, m); err != nil {
		return nil, fmt.Errorf("creating entry: %w", err)
	}
	return e, nil
}

// Listeners are the sockets of an entry.
type Listeners struct {
	RPC  net.Listener
	HTTP net.Listener
}

// Run serves until ctx ends, then finishes the requests in progress.
func (e *Entry) Run(ctx context.Context, listeners Listeners) error {
	// What serves the requests in progress ends after the HTTP server.
	inner, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	e.life = inner
	group, inner := errgroup.WithContext(inner)
	web := &http.Server{Handler: e.routes(), ReadHeaderTimeout: 10 * time.Second}
	group.Go(func() error { return e.server.Serve(listeners.RPC) })
	group.Go(func() error {
		if err := web.Serve(listeners.HTTP); err != http.ErrServerClosed {
			return fmt.Errorf("serving http: %w", err)
		}
		return nil
	})
	group.Go(func() error { return e.loop(inner, e.opts.HeadPeriod, e.follow) })
	group.Go(func() error { return e.refreshLoop(inner) })
	group.Go(func() error { return e.register(inner) })
	group.Go(func() error { return e.loop(inner, sweepPeriod, e.sweep) })
	group.Go(func() error { return e.loop(inner, endPeriod, e.ender.step) })
	group.Go(func() error {
		select {
		case <-ctx.Done():
		case <-inner.Done():
		}
		e.shutdown(web)
		stop()
		_ = listeners.RPC.Close() // ends Serve
		e.server.Close()
		e.pool.Close()
		return nil
	})
	klog.Infof("entry: %s serves callers at %s and processes at %s.", e.opts.ID, e.opts.HTTPAddress, e.opts.RPCAddress)
	err := group.Wait()
	e.traffic.Wait()
	if err != nil {
		return fmt.Errorf("running entry: %w", err)
	}
	return nil
}

// shutdown lets the requests in progress finish.
func (e *Entry) shutdown(web *http.Server) {
	e.leaving.Store(true)
	klog.Infof("entry: %s leaves.", e.opts.ID)
	ctx, cancel := context.WithTimeout(context.Background(), e.opts.ShutdownTimeout)
	defer cancel()
	// Requests in progress go on with the schedulers that take the duties.
	e.duties.close(ctx)
	// Connections that arrive before the balancer has noticed are answered; the
	// end of the listener would reset them.
	clock.Sleep(ctx, e.opts.LeaveGrace)
	if err := web.Shutdown(ctx); err != nil {
		klog.Warningf("entry: Requests were still in progress at the end: %v.", err)
	}
}

// loop calls f at once and then each period until ctx ends.
func (e *Entry) loop(ctx context.Context, period time.Duration, f func(context.Context)) error {
	ticker := time.NewTicker(period)
	defer ticker.Stop()
	for {
		f(ctx)
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		}
	}
}

// refreshLoop reads registrations and duties each period, and when poked.
func (e *Entry) refreshLoop(ctx context.Context) error {
	ticker := time.NewTicker(e.opts.MembershipPeriod)
	defer ticker.Stop()
	for {
		e.refresh(ctx)
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		case <-e.poked:
			// A pause keeps repeated pokes from loading the store.
			if !clock.Sleep(ctx, storeRetry) {
				return nil
			}
		}
	}
}

// refreshSoon asks for a refresh without waiting for the period.
func (e *Entry) refreshSoon() {
	select {
	case e.poked <- struct{}{}:
	default: // one is asked for already
	}
}

// follow reads the configuration head.
func (e *Entry) follow(ctx context.Context) {
	sent := time.Now()
	callCtx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	if err := e.follower.Poll(callCtx); err != nil {
		klog.V(1).Infof("entry: The configuration head could not be read: %v.", err)
		e.permits.storeFailed(ctx)
		return
	}
	e.storeRead.Store(int64(sent.Sub(e.start)))
}

// Hold keeps the control goroutines of all duties busy until the channel is
// closed, as a paused process would; tests of freezes use it.
func (e *Entry) Hold(until <-chan struct{}) {
	for _, s := range e.host.All() {
		s.Hold(until)
	}
}
