package gateway

import (
	"context"
	"net/http"
	"time"

	"github.com/apex/log"

	"pistachioroad.dev/pistachioroad/internal/backend"
	"pistachioroad.dev/pistachioroad/internal/decide/place"
	"pistachioroad.dev/pistachioroad/internal/request"
	"pistachioroad.dev/pistachioroad/internal/verdict"
)

const (
	// maxPrefilled bounds the answer to a PrefillOnly send.
	maxPrefilled = 64 << 10
	// freeTimeout bounds the call that frees KV cache that is not used.
	freeTimeout = 500 * time.Millisecond
)

// runModel sends a prompt to model engines.
func (c *call) runModel() {
	g := c.gateway
	id := jobID(c.request.ID)
	last := verdict.Refused(verdict.CodeNoBackend, "no engine", unknownRetry)
	for first := true; first || c.mayRepeat(); first = false {
		plan, ok := g.engines.place(time.Now(), c.service.Name, place.Job{
			ID:         id,
			Prompt:     c.request.Prompt,
			DataCentre: g.deployment.Load().DataCentre,
			Exclude:    func(server string) bool { return c.refusedBy[server] },
		})
		if !ok {
			break
		}
		c.trace.plan = plan
		err := c.runPlan(plan, id)
		if err == nil {
			return
		}
		last = err
	}
	c.fail(last)
}

// runPlan runs the request as planned. It returns nil once it has answered.
func (c *call) runPlan(plan place.Plan, id place.JobID) *verdict.Error {
	g := c.gateway
	defer g.engines.ended(c.service.Name, id)
	view := g.directory.View()
	decoder, ok := serverByID(view, plan.Decoder)
	if !ok {
		return c.lostServer(plan.Decoder)
	}
	options := request.Options{Priority: request.DefaultPriority}
	if plan.Split() {
		reader, ok := serverByID(view, plan.Reader)
		if !ok {
			return c.lostServer(plan.Reader)
		}
		began := time.Now()
		handle, err := c.prefill(reader)
		c.trace.prefill = time.Since(began)
		g.engines.readDone(c.service.Name, id)
		if err != nil {
			return err
		}
		options.KVSource = g.dialect.KVSource(reader.Address, handle)
		failed := c.generate(decoder, options, id)
		if failed != nil && failed.Verdict == verdict.NotRun {
			go g.freeHandle(reader, handle)
		}
		return failed
	}
	return c.generate(decoder, options, id)
}

// lostServer is the outcome of a plan whose server has left since.
func (c *call) lostServer(id string) *verdict.Error {
	c.note(backend.Server{ID: id}, verdict.NotRun)
	return verdict.Refused(verdict.CodeNoBackend, "the engine has left", leastRetry)
}

// prefill has a prompt read and returns the handle of its KV cache. It does not
// run the request, whatever its outcome.
func (c *call) prefill(reader backend.Server) (string, *verdict.Error) {
	g := c.gateway
	if c.prefills > 0 && !c.spendExtra() {
		return "", c.overBudget()
	}
	c.prefills++
	o := request.Options{Server: reader, Left: c.left(), Stage: request.PrefillOnly, Priority: request.DefaultPriority}
	reply, err := g.transport.Send(c.ctx, &c.request, o)
	if err != nil {
		g.engines.avoid(c.service.Name, reader.ID, time.Now().Add(suspectFor))
		return "", c.prefillFailed(reader, err.Error())
	}
	body, err := reply.ReadAll(maxPrefilled)
	if err != nil {
		return "", c.prefillFailed(reader, "answer broke off: "+err.Error())
	}
	if reply.Status != http.StatusOK {
		return "", c.prefillFailed(reader, http.StatusText(reply.Status))
	}
	p, err := g.dialect.Prefilled(body)
	if err != nil {
		return "", c.prefillFailed(reader, err.Error())
	}
	return p.Handle, nil
}

func (c *call) prefillFailed(reader backend.Server, why string) *verdict.Error {
	c.note(reader, verdict.NotRun)
	return verdict.Refused(verdict.CodeOverloaded, "prefill at "+reader.ID+": "+why, leastRetry)
}

// generate has the answer generated and passes it on.
func (c *call) generate(decoder backend.Server, o request.Options, id place.JobID) *verdict.Error {
	g := c.gateway
	reply, err := c.send(decoder, o)
	if err != nil {
		if err.Verdict != verdict.NotRun || err.Code == verdict.CodeNoBackend {
			g.engines.avoid(c.service.Name, decoder.ID, time.Now().Add(suspectFor))
		}
		return err
	}
	defer reply.Body.Close()
	c.head(reply)
	first := &firstByte{Reader: reply.Body, seen: func() { g.engines.readDone(c.service.Name, id) }}
	if err := c.pass(first); err != nil {
		c.abort("the answer broke off: " + err.Error())
	}
	return nil
}

// freeHandle frees KV cache that no engine took; it would occupy memory until
// its time is over.
func (g *Gateway) freeHandle(s backend.Server, handle string) {
	ctx, cancel := context.WithTimeout(context.Background(), freeTimeout)
	defer cancel()
	method, path := g.dialect.FreeHandle(handle)
	r := request.Request{ID: handle, Method: method, Target: path, Host: s.Address, Header: http.Header{}}
	reply, err := g.transport.Send(ctx, &r, request.Options{Server: s, Left: freeTimeout, Priority: request.DefaultPriority})
	if err != nil {
		log.WithField("server", s.ID).WithField("error", err.Error()).Info("KV cache not freed")
		return
	}
	reply.Body.Close()
}
