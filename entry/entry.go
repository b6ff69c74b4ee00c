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
	"catkinpoint/intake"
	"catkinpoint/link"
	"catkinpoint/meter"
	"catkinpoint/sched"
)

// Entry is one entry process.
type Entry struct {
	opts            Options
	pool            *link.Pool
	server          *link.Server
	host            *sched.Host
	follower        *head.Follower
	publisher       *head.Publisher
	view            atomic.Pointer[clusterView] // registrations and duties as last read
	permits         *permitIssuer
	duties          *dutyManager
	refreshRequests chan struct{} // a value makes refreshLoop refresh before its period ends
	meter           *meter.Meter
	admission       *admission
	metrics         metrics
	shuttingDown    atomic.Bool
	// lastHeadRead is when the last successful read of the configuration head was
	// sent, in nanoseconds since startTime.
	lastHeadRead  atomic.Int64
	startTime     time.Time
	background    sync.WaitGroup  // goroutines that Run waits for
	runCtx        context.Context // ends with Run, after the HTTP server
	bootID        string
	adoption      adoptionState
	endRetrier    *endRetrier
	lastHeadSweep time.Time
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

		meter:           m,
		admission:       newAdmission(opts),
		startTime:       time.Now(),
		lastHeadSweep:   time.Now(),
		refreshRequests: make(chan struct{}, 1),
		bootID:          uuid.NewString(),
	}
	e.publisher = head.NewPublisher(e.follower, head.Options{})
	e.view.Store(new(clusterView))
	e.permits = newPermitIssuer(e)
	e.duties = newDutyManager(e)
	e.endRetrier = newEndRetrier(e)
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

const (
	// callerTimeout is in which a caller must send its headers, and the next part of a
	// body.
	callerTimeout = 10 * time.Second
	// SocketBytes is the size of the kernel's buffers of a caller's connection. Bodies
	// of 8 MB and other regions need more than the default of package intake.
	SocketBytes = 64 << 10
	// bodyFactor is the memory that a byte of a body takes: it is kept as it came, and
	// copied while it is sent to a worker or stored.
	bodyFactor = 3
)

// Listeners are the sockets on which an entry serves.
type Listeners struct {
	RPC  net.Listener
	HTTP net.Listener
}

// Run serves until ctx ends, then finishes the requests in progress.
func (e *Entry) Run(ctx context.Context, listeners Listeners) error {
	// The goroutines that requests in progress depend on end after the HTTP server.
	serveCtx, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	e.runCtx = serveCtx
	group, serveCtx := errgroup.WithContext(serveCtx)
	admission := intake.New(intake.Resources{
		Name:     "callers",
		BudgetMB: e.opts.CallerMemoryMB, Descriptors: intake.Descriptors(), Stall: callerTimeout,
		SocketBytes: SocketBytes, BodyFactor: bodyFactor,
	})
	httpServer := admission.Server(e.httpHandler(), intake.ServerOptions{HeaderTimeout: callerTimeout})
	group.Go(func() error { return e.server.Serve(listeners.RPC) })
	group.Go(func() error {
		if err := httpServer.Serve(admission.Listener(listeners.HTTP)); err != http.ErrServerClosed {
			return fmt.Errorf("serving http: %w", err)
		}
		return nil
	})
	group.Go(func() error { return e.runPeriodically(serveCtx, e.opts.HeadPeriod, e.pollHead) })
	group.Go(func() error { return e.refreshLoop(serveCtx) })
	group.Go(func() error { return e.keepRegistered(serveCtx) })
	group.Go(func() error { return e.runPeriodically(serveCtx, sweepPeriod, e.sweep) })
	group.Go(func() error { return e.runPeriodically(serveCtx, endRetryPeriod, e.endRetrier.retryAll) })
	group.Go(func() error {
		select {
		case <-ctx.Done():
		case <-serveCtx.Done():
		}
		e.shutdown(httpServer)
		stop()
		_ = listeners.RPC.Close() // ends Serve
		e.server.Close()
		e.pool.Close()
		return nil
	})
	klog.Infof("entry: %s serves callers at %s and processes at %s.", e.opts.ID, e.opts.HTTPAddress, e.opts.RPCAddress)
	err := group.Wait()
	e.background.Wait()
	if err != nil {
		return fmt.Errorf("running entry: %w", err)
	}
	return nil
}

// shutdown releases the duties and lets the requests in progress finish.
func (e *Entry) shutdown(httpServer *http.Server) {
	e.shuttingDown.Store(true)
	klog.Infof("entry: %s shuts down.", e.opts.ID)
	ctx, cancel := context.WithTimeout(context.Background(), e.opts.ShutdownTimeout)
	defer cancel()
	// The jobs of requests in progress are continued by the schedulers of the entries
	// that take the duties over.
	e.duties.releaseAll(ctx)
	// Connections are accepted until the balancer has noticed the failing health
	// check; closing the listener at once would reset those that still arrive.
	clock.Sleep(ctx, e.opts.ShutdownDelay)
	if err := httpServer.Shutdown(ctx); err != nil {
		klog.Warningf("entry: Requests were still in progress at the end: %v.", err)
	}
}

// runPeriodically calls f at once and then each period until ctx ends.
func (e *Entry) runPeriodically(ctx context.Context, period time.Duration, f func(context.Context)) error {
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

// refreshLoop refreshes each period, and when refreshSoon is called.
func (e *Entry) refreshLoop(ctx context.Context) error {
	ticker := time.NewTicker(e.opts.MembershipPeriod)
	defer ticker.Stop()
	for {
		e.refresh(ctx)
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		case <-e.refreshRequests:
			// The pause limits the load of repeated requests on the store.
			if !clock.Sleep(ctx, storeRetry) {
				return nil
			}
		}
	}
}

// refreshSoon requests a refresh without waiting for the period.
func (e *Entry) refreshSoon() {
	select {
	case e.refreshRequests <- struct{}{}:
	default: // a request is pending already
	}
}

// pollHead reads the configuration head. If that fails, permits are extended as
// the permit policy allows.
func (e *Entry) pollHead(ctx context.Context) {
	sentAt := time.Now()
	callCtx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	if err := e.follower.Poll(callCtx); err != nil {
		klog.V(1).Infof("entry: The configuration head could not be read: %v.", err)
		e.permits.extendFromWitnesses(ctx)
		return
	}
	e.lastHeadRead.Store(int64(sentAt.Sub(e.startTime)))
}

// BlockSchedulers blocks the control goroutines of all schedulers in this process
// until the channel is closed, as if the process were paused. Tests that freeze a
// process use it.
func (e *Entry) BlockSchedulers(until <-chan struct{}) {
	for _, s := range e.host.All() {
		s.BlockControl(until)
	}
}
