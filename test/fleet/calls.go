package fleet

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"os/exec"
	"path/filepath"
	"strings"

	"github.com/rotisserie/eris"
	"github.com/samber/lo"

	"pistachioroad.dev/pistachioroad/internal/sharedstate"
	"pistachioroad.dev/pistachioroad/test/standin/modelengine"
	"pistachioroad.dev/pistachioroad/test/standin/objectstore"
	"pistachioroad.dev/pistachioroad/test/standin/plainservice"
)

// Answer is the response to a call.
type Answer struct {
	Status  int
	Header  http.Header
	Body    string
	Verdict string
}

// URL returns the base URL at which an entry serves callers.
func (f *Fleet) URL(entry string) string {
	return "http://" + f.address(f.ips[entry], portCallers)
}

// OperatorAddress returns the address of a VM's operator API.
func (f *Fleet) OperatorAddress(vm string) string { return f.address(f.ips[vm], portOperators) }

// TokenFile returns the path of the operator token file.
func (f *Fleet) TokenFile() string { return f.tokenFile() }

// Do sends a request and reads the whole response. An error means that there
// was no response or that its body was truncated; no status is an error.
func Do(ctx context.Context, method, url string, header http.Header, body any) (Answer, error) {
	data, err := json.Marshal(body)
	if err != nil {
		return Answer{}, eris.Wrap(err, "encode request body")
	}
	req, err := http.NewRequestWithContext(ctx, method, url, bytes.NewReader(data))
	if err != nil {
		return Answer{}, eris.Wrap(err, "create request")
	}
	req.Header = lo.Ternary(header != nil, header, http.Header{})
	req.Header.Set("Content-Type", "application/json")
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return Answer{}, eris.Wrap(err, "send request")
	}
	defer func() { _ = resp.Body.Close() }()
	text, err := io.ReadAll(resp.Body)
	return Answer{
		Status:  resp.StatusCode,
		Header:  resp.Header,
		Body:    string(text),
		Verdict: resp.Header.Get("Pistachioroad-Verdict"),
	}, eris.Wrap(err, "read response body")
}

// Completion is the body of POST /v1/completions.
type Completion struct {
	Model     string `json:"model"`
	Prompt    string `json:"prompt"`
	MaxTokens int    `json:"max_tokens"`
	Stream    bool   `json:"stream,omitempty"`
}

// completionBody holds the decoded fields of a response or a stream event.
type completionBody struct {
	Choices []struct {
		Text string `json:"text"`
	} `json:"choices"`
}

// CompletionText returns the text of a plain or streamed completion and
// reports whether the completion is complete. A stream is complete if it ends
// with [DONE].
func CompletionText(a Answer) (string, bool) {
	if !strings.HasPrefix(a.Header.Get("Content-Type"), "text/event-stream") {
		var c completionBody
		if json.Unmarshal([]byte(a.Body), &c) != nil || len(c.Choices) == 0 {
			return "", false
		}
		return c.Choices[0].Text, true
	}
	var text strings.Builder
	for line := range strings.Lines(a.Body) {
		event, ok := strings.CutPrefix(strings.TrimSpace(line), "data: ")
		if !ok {
			continue
		}
		if event == "[DONE]" {
			return text.String(), true
		}
		var c completionBody
		if json.Unmarshal([]byte(event), &c) == nil && len(c.Choices) > 0 {
			text.WriteString(c.Choices[0].Text)
		}
	}
	return text.String(), false
}

// Tool returns a command that runs the operators' tool against one entry.
func (f *Fleet) Tool(ctx context.Context, entry string, args ...string) *exec.Cmd {
	common := []string{"-entry", f.OperatorAddress(entry), "-token-file", f.TokenFile()}
	return exec.CommandContext(ctx, filepath.Join(f.options.Bin, "pistachioroad"), append(common, args...)...)
}

// PublishVMs replaces the platform's VM list with the VMs of the fleet.
func (f *Fleet) PublishVMs(ctx context.Context) error {
	specs := lo.SliceToMap(f.VMs, func(vm sharedstate.VM) (string, sharedstate.VM) { return vm.Name, vm })
	return f.post(ctx, f.platformURL()+"/standin/objects/"+sharedstate.VMsKind, specs)
}

// SetPlatformFaults replaces the faults of the platform stand-in.
func (f *Fleet) SetPlatformFaults(ctx context.Context, faults objectstore.Faults) error {
	return f.post(ctx, f.platformURL()+"/standin/faults", faults)
}

// PlatformCalls returns the platform stand-in's call counts.
func (f *Fleet) PlatformCalls(ctx context.Context) (objectstore.Calls, error) {
	return get[objectstore.Calls](ctx, f.platformURL()+"/standin/calls")
}

// EngineRecord returns the record of the engine stand-in on a VM.
func (f *Fleet) EngineRecord(ctx context.Context, vm string) (modelengine.Record, error) {
	return get[modelengine.Record](ctx, f.BackendURL(vm)+"/standin/record")
}

// ServiceRecord returns the record of the plain service stand-in on a VM.
func (f *Fleet) ServiceRecord(ctx context.Context, vm string) (plainservice.Record, error) {
	return get[plainservice.Record](ctx, f.BackendURL(vm)+"/standin/runs")
}

// SetServiceFaults replaces the faults of the plain service stand-in on a VM.
func (f *Fleet) SetServiceFaults(ctx context.Context, vm string, faults plainservice.Faults) error {
	return f.post(ctx, f.BackendURL(vm)+"/standin/faults", faults)
}

// BackendURL returns the base URL of the backend server on a VM, bypassing its
// sidecar.
func (f *Fleet) BackendURL(vm string) string {
	return "http://" + f.address(f.ips[vm], portBackend)
}

// platformURL returns the base URL of the platform, bypassing its fault proxy.
func (f *Fleet) platformURL() string {
	return "http://" + f.address(f.ips[platformName], portPlatform)
}

func (f *Fleet) post(ctx context.Context, url string, body any) error {
	answer, err := Do(ctx, http.MethodPost, url, nil, body)
	if err != nil {
		return err
	}
	if answer.Status >= http.StatusBadRequest {
		return eris.Errorf("POST %s: status %d: %s", url, answer.Status, answer.Body)
	}
	return nil
}

func get[T any](ctx context.Context, url string) (T, error) {
	var value T
	answer, err := Do(ctx, http.MethodGet, url, nil, nil)
	if err != nil {
		return value, err
	}
	return value, eris.Wrap(json.Unmarshal([]byte(answer.Body), &value), "decode response of "+url)
}
