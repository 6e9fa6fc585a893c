package platform

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"io"
	"math/rand/v2"
	"net/http"
	"net/http/httptrace"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/rotisserie/eris"
	"golang.org/x/sync/singleflight"
	"golang.org/x/time/rate"
)

// The timing of calls.
const (
	// callTimeout bounds a call that does not wait. The platform answers in
	// milliseconds; a call that takes this long sits on a connection that has
	// gone silent, or the store is down.
	callTimeout = time.Second
	// watchTimeout bounds one watch call. The platform ends one by itself
	// after about 25 s.
	watchTimeout = 30 * time.Second
	// shortestWatch is the least time between two watch calls without news.
	shortestWatch = time.Second
	// tokenWait is how long a call waits for its share of the call rate. Claims
	// that wait share the next update, so that waiting costs less than refusing.
	tokenWait = time.Second
	// defaultCallsPerSecond is the call rate of a process that sets none.
	defaultCallsPerSecond = 20
	// idleConnections bounds the connections kept open to the platform.
	idleConnections = 8
	// maxListBytes bounds the VM list as read.
	maxListBytes = 4 << 20
)

// ClientConfig says how to reach the platform.
type ClientConfig struct {
	// Address is an IP number and a port.
	Address string
	// CallsPerSecond is this process's share of the platform's call rate.
	CallsPerSecond float64
	// Random spreads retries. Nil: a random seed.
	Random *rand.Rand
	// Now tells the time. Nil: time.Now.
	Now func() time.Time
}

// Health is what a Client knows about the platform.
type Health struct {
	// Up says that the last call that was answered or failed was answered.
	Up bool `json:"up"`
	// Since is when Up last changed.
	Since time.Time `json:"since"`
	// LastAnswer is when the platform last answered.
	LastAnswer time.Time `json:"last_answer"`
	// RetryAt is when the next call is tried while the platform is down.
	RetryAt time.Time `json:"retry_at"`
}

// Client calls the platform over HTTP. It implements Store and VMList and may
// be used by any goroutine.
type Client struct {
	base  string
	http  *http.Client
	rate  *rate.Limiter
	reads singleflight.Group
	now   func() time.Time

	guard   sync.Mutex
	circuit *circuit

	metrics clientMetrics
}

type clientMetrics struct {
	gets, puts, watches, lists                    metrics.Counter
	answered, failed, refused, conflicts, unknown metrics.Counter
	merged                                        metrics.Counter
	bytesOut, bytesIn                             metrics.Counter
}

func newClientMetrics() clientMetrics {
	counter := func(name string) metrics.Counter {
		return metrics.GetOrRegisterCounter("platform."+name, nil)
	}
	return clientMetrics{
		gets:      counter("calls.get"),
		puts:      counter("calls.put"),
		watches:   counter("calls.watch"),
		lists:     counter("calls.vms"),
		answered:  counter("answered"),
		failed:    counter("failed"),
		refused:   counter("refused"),
		conflicts: counter("put.conflict"),
		unknown:   counter("put.unknown"),
		merged:    counter("get.merged"),
		bytesOut:  counter("bytes.out"),
		bytesIn:   counter("bytes.in"),
	}
}

// NewClient returns a Client that has not called yet.
func NewClient(config ClientConfig) *Client {
	if config.CallsPerSecond <= 0 {
		config.CallsPerSecond = defaultCallsPerSecond
	}
	if config.Random == nil {
		config.Random = rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	}
	if config.Now == nil {
		config.Now = time.Now
	}
	transport := &http.Transport{
		MaxIdleConnsPerHost: idleConnections,
		MaxIdleConns:        idleConnections,
		IdleConnTimeout:     time.Minute,
		DisableCompression:  true,
	}
	burst := max(1, int(config.CallsPerSecond))
	return &Client{
		base:    "http://" + config.Address,
		http:    &http.Client{Transport: transport, CheckRedirect: refuseRedirect},
		rate:    rate.NewLimiter(rate.Limit(config.CallsPerSecond), burst),
		now:     config.Now,
		circuit: newCircuit(config.Now(), config.Random),
		metrics: newClientMetrics(),
	}
}

// refuseRedirect keeps a call from being made a second time elsewhere.
func refuseRedirect(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }

// Health returns what is known about the platform now.
func (c *Client) Health() Health {
	c.guard.Lock()
	defer c.guard.Unlock()
	return c.circuit.health()
}

// Close closes the connections that are not in use.
func (c *Client) Close() { c.http.CloseIdleConnections() }

// Get implements Store. Equal reads at the same time share one call.
func (c *Client) Get(ctx context.Context, name string) (Object, error) {
	shared := c.reads.DoChan(name, func() (any, error) {
		c.metrics.gets.Inc(1)
		return c.read(context.WithoutCancel(ctx), callTimeout, name, "", c.circuit.allow)
	})
	select {
	case r := <-shared:
		if r.Shared {
			c.metrics.merged.Inc(1)
		}
		if r.Err != nil {
			return Object{Name: name}, r.Err
		}
		return r.Val.(Object), nil
	case <-ctx.Done():
		return Object{Name: name}, eris.Wrap(ErrUnavailable, ctx.Err().Error())
	}
}

// Watch implements Store. A watch that the platform ended without news is
// opened again; one that failed returns ErrUnavailable or ErrNotSent, and the
// watcher waits before the next.
func (c *Client) Watch(ctx context.Context, name string, after uint64) (Object, error) {
	query := "?watch=" + strconv.FormatUint(after, 10)
	for {
		c.metrics.watches.Inc(1)
		began := c.now()
		o, err := c.read(ctx, watchTimeout, name, query, c.circuit.allowWatch)
		if err != nil || o.Version > after {
			return o, err
		}
		// A platform that does not wait for an object that does not exist yet
		// would be asked again without end.
		if !pause(ctx, began.Add(shortestWatch).Sub(c.now())) {
			return o, eris.Wrap(ErrUnavailable, ctx.Err().Error())
		}
	}
}

// Put implements Store.
func (c *Client) Put(ctx context.Context, name string, version uint64, value []byte) (uint64, error) {
	if len(value) > MaxValue {
		return 0, eris.Wrapf(ErrNotSent, "value of %d bytes", len(value))
	}
	c.metrics.puts.Inc(1)
	if err := c.admit(ctx, c.circuit.allow); err != nil {
		return 0, err
	}
	// A read that began before this write must not answer one that begins
	// after it: the writer would look for its own write in an older value.
	defer c.reads.Forget(name)
	written, err := c.send(ctx, name, version, value)
	c.record(ctx, err)
	switch {
	case errors.Is(err, ErrConflict):
		c.metrics.conflicts.Inc(1)
	case errors.Is(err, ErrUnknown):
		c.metrics.unknown.Inc(1)
	}
	return written, err
}

// VMs implements VMList.
func (c *Client) VMs(ctx context.Context) ([]VM, error) {
	c.metrics.lists.Inc(1)
	if err := c.admit(ctx, c.circuit.allow); err != nil {
		return nil, err
	}
	body, _, err := c.fetch(ctx, callTimeout, c.base+"/vms", maxListBytes)
	c.record(ctx, err)
	if err != nil {
		return nil, err
	}
	vms := []VM{}
	if err := json.Unmarshal(body, &vms); err != nil {
		return nil, eris.Wrap(ErrUnavailable, "VM list: "+err.Error())
	}
	return vms, nil
}

// admit takes the call's share of the rate, and refuses it at once while the
// platform is down. Calls that each ran into their timeout during an outage
// would pile up, and all start again together at its end.
// Pass is the circuit's rule for this kind of call.
func (c *Client) admit(ctx context.Context, pass func(time.Time) bool) error {
	c.guard.Lock()
	allowed := pass(c.now())
	c.guard.Unlock()
	if !allowed {
		c.metrics.refused.Inc(1)
		return eris.Wrap(ErrNotSent, "the platform is down")
	}
	waiting, cancel := context.WithTimeout(ctx, tokenWait)
	defer cancel()
	if err := c.rate.Wait(waiting); err != nil {
		c.metrics.refused.Inc(1)
		c.abandon()
		return eris.Wrap(ErrNotSent, "over this process's call rate")
	}
	return nil
}

func (c *Client) abandon() {
	c.guard.Lock()
	defer c.guard.Unlock()
	c.circuit.abandoned()
}

// record tells the circuit how a call ended. A call that its own caller gave
// up says nothing about the platform.
func (c *Client) record(ctx context.Context, err error) {
	if err != nil && !errors.Is(err, ErrConflict) && ctx.Err() != nil {
		c.abandon()
		return
	}
	c.guard.Lock()
	defer c.guard.Unlock()
	if err == nil || errors.Is(err, ErrConflict) {
		c.metrics.answered.Inc(1)
		c.circuit.succeeded(c.now())
		return
	}
	c.metrics.failed.Inc(1)
	c.circuit.failed(c.now())
	// The other idle connections may have gone silent with the one that
	// failed. Each would cost one more timeout before a new one is opened.
	c.http.CloseIdleConnections()
}

func (c *Client) read(ctx context.Context, timeout time.Duration, name, query string, pass func(time.Time) bool) (Object, error) {
	o := Object{Name: name}
	if err := c.admit(ctx, pass); err != nil {
		return o, err
	}
	value, etag, err := c.fetch(ctx, timeout, c.base+"/objects/"+name+query, MaxValue)
	if err == nil && etag != "" {
		o.Version, err = parseETag(etag)
		o.Value = value
	}
	c.record(ctx, err)
	return o, err
}

// fetch reads url. An object that does not exist, and a watch without news,
// have an empty ETag.
func (c *Client) fetch(ctx context.Context, timeout time.Duration, url string, limit int64) ([]byte, string, error) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return nil, "", eris.Wrap(ErrUnavailable, err.Error())
	}
	response, err := c.http.Do(request)
	if err != nil {
		return nil, "", eris.Wrap(ErrUnavailable, err.Error())
	}
	defer func() { _ = response.Body.Close() }()
	switch response.StatusCode {
	case http.StatusOK:
	case http.StatusNotFound, http.StatusNoContent:
		return nil, "", nil
	default:
		return nil, "", eris.Wrap(ErrUnavailable, response.Status)
	}
	body, err := io.ReadAll(io.LimitReader(response.Body, limit+1))
	if err != nil {
		return nil, "", eris.Wrap(ErrUnavailable, err.Error())
	}
	if int64(len(body)) > limit {
		return nil, "", eris.Wrap(ErrUnavailable, "value too large")
	}
	c.metrics.bytesIn.Inc(int64(len(body)))
	return body, response.Header.Get("ETag"), nil
}

// send writes once and classifies the outcome. Only what certainly never left
// this process, or what the platform says that it has not written, is
// ErrNotSent: calling a lost reply "not written" would let the writer start
// over while its first write is still on the way.
func (c *Client) send(ctx context.Context, name string, version uint64, value []byte) (uint64, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	var connected atomic.Bool
	trace := &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { connected.Store(true) },
	}
	ctx = httptrace.WithClientTrace(ctx, trace)
	request, err := newPut(ctx, c.base+"/objects/"+name, version, value)
	if err != nil {
		return 0, eris.Wrap(ErrNotSent, err.Error())
	}
	response, err := c.http.Do(request)
	if err != nil {
		if connected.Load() {
			return 0, eris.Wrap(ErrUnknown, err.Error())
		}
		return 0, eris.Wrap(ErrNotSent, err.Error())
	}
	_ = response.Body.Close()
	c.metrics.bytesOut.Inc(int64(len(value)))
	switch response.StatusCode {
	case http.StatusOK:
		written, err := parseETag(response.Header.Get("ETag"))
		if err != nil {
			return 0, eris.Wrap(ErrUnknown, err.Error())
		}
		return written, nil
	case http.StatusPreconditionFailed:
		return 0, eris.Wrap(ErrConflict, name)
	case http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return 0, eris.Wrap(ErrNotSent, response.Status)
	default:
		return 0, eris.Wrap(ErrUnknown, response.Status)
	}
}

func newPut(ctx context.Context, url string, version uint64, value []byte) (*http.Request, error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodPut, url, bytes.NewReader(value))
	if err != nil {
		return nil, err
	}
	// Without GetBody the transport cannot send the value a second time on
	// another connection, so that each Put is at most one write.
	request.GetBody = nil
	if version == 0 {
		request.Header.Set("If-None-Match", "*")
	} else {
		request.Header.Set("If-Match", strconv.Quote(strconv.FormatUint(version, 10)))
	}
	return request, nil
}

func parseETag(etag string) (uint64, error) {
	version, err := strconv.ParseUint(strings.Trim(etag, `"`), 10, 64)
	if err != nil || version == 0 {
		return 0, eris.Wrapf(ErrUnavailable, "ETag %q", etag)
	}
	return version, nil
}
