// Command quickstart runs the main use cases on a local fleet of two entries, their
// sidecars and stand-ins: a streamed draft, and a hold sent twice with one
// idempotency key through two entries.
//
// With -once it stops the fleet afterwards and exits with 0 only if all answers
// were correct; otherwise the fleet runs until it is interrupted.
package main

import (
	"context"
	"flag"
	"fmt"
	"net/http"
	"os"
	"os/signal"
	"path/filepath"
	"strconv"
	"strings"
	"syscall"
	"time"

	"github.com/rotisserie/eris"

	"pistachioroad.dev/pistachioroad/test/fleet"
	"pistachioroad.dev/pistachioroad/test/standin/modelengine"
	"pistachioroad.dev/pistachioroad/test/standin/plainservice"
)

const (
	prompt    = "Draft a reply: Seo-yeon is free for the Seongsu shoot on Friday."
	maxTokens = 24
	subject   = "seo-yeon/2026-12-04"
	holdKey   = "hold-seo-yeon-2026-12-04"
)

func main() {
	bin := flag.String("bin", "bin", "folder of the programs")
	once := flag.Bool("once", false, "stop after the first round")
	flag.Parse()
	if err := run(*bin, *once); err != nil {
		fmt.Fprintln(os.Stderr, "quickstart:", eris.ToString(err, false))
		os.Exit(1)
	}
}

func run(bin string, once bool) error {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	dir, err := os.MkdirTemp("", "pistachioroad-")
	if err != nil {
		return eris.Wrap(err, "create folder for settings and logs")
	}
	defer func() { _ = os.RemoveAll(dir) }()

	fmt.Println("starting the stand-ins, two entries, four engines and two booking services")
	f, err := fleet.Start(ctx, fleet.Options{
		Bin:      bin,
		Dir:      dir,
		Entries:  2,
		Engines:  engines(),
		Services: map[string]int{"holds": 2},
	})
	if err != nil {
		return showLogs(dir, err)
	}
	defer f.Stop()
	if err := sendRequests(ctx, f); err != nil {
		return showLogs(dir, err)
	}
	if once {
		return nil
	}
	fmt.Printf("\ncallers:   %s\noperators: %s (token file %s)\nsettings and logs: %s\nCtrl-C stops the fleet.\n",
		f.URL("entry-1"), f.OperatorAddress("entry-1"), f.TokenFile(), dir)
	<-ctx.Done()
	return nil
}

func engines() []fleet.Engine {
	return []fleet.Engine{
		{Role: "prefill", Model: "draft", Fencing: true},
		{Role: "decode", Model: "draft", Fencing: true},
		{Role: "decode", Model: "draft"},
		{Role: "mixed", Model: "draft"},
	}
}

// sendRequests sends the draft and the holds and prints the status.
func sendRequests(ctx context.Context, f *fleet.Fleet) error {
	if err := checkDraft(ctx, f); err != nil {
		return err
	}
	if err := checkRepeatedHold(ctx, f); err != nil {
		return err
	}
	return printStatus(ctx, f)
}

func checkDraft(ctx context.Context, f *fleet.Fleet) error {
	answer, err := doWithRetry(ctx, f.URL("entry-1")+"/v1/completions", nil,
		fleet.Completion{Model: "draft", Prompt: prompt, MaxTokens: maxTokens, Stream: true})
	if err != nil {
		return eris.Wrap(err, "draft")
	}
	text, complete := fleet.CompletionText(answer)
	fmt.Printf("\ndraft, streamed: %d, whole: %v\n%s\n", answer.Status, complete, strings.TrimSpace(text))
	if answer.Status != http.StatusOK || !complete || text != modelengine.Answer(prompt, maxTokens) {
		return eris.Errorf("draft: got status %d, body %s", answer.Status, answer.Body)
	}
	return nil
}

// checkRepeatedHold sends the same hold through two entries with one key and checks
// that it ran once.
func checkRepeatedHold(ctx context.Context, f *fleet.Fleet) error {
	bodies := []string{}
	for _, entry := range f.Entries[:2] {
		header := http.Header{"Idempotency-Key": {holdKey}}
		answer, err := doWithRetry(ctx, f.URL(entry)+"/services/holds/holds", header,
			plainservice.Hold{Subject: subject})
		if err != nil {
			return eris.Wrap(err, "hold")
		}
		fmt.Printf("\nhold through %s: %d, verdict %s\n%s\n", entry, answer.Status, answer.Verdict, answer.Body)
		if answer.Status != http.StatusCreated {
			return eris.Errorf("hold: got status %d, body %s", answer.Status, answer.Body)
		}
		bodies = append(bodies, answer.Body)
	}
	runs := 0
	for _, name := range f.Services["holds"] {
		record, err := f.ServiceRecord(ctx, name)
		if err != nil {
			return eris.Wrap(err, name)
		}
		runs += record.Runs[subject]
	}
	fmt.Printf("\nthe hold ran %d time(s)\n", runs)
	if runs != 1 || bodies[0] != bodies[1] {
		return eris.Errorf("hold sent twice with one key: got %d runs, want 1 run and equal answers", runs)
	}
	return nil
}

// doWithRetry sends a request. Like a well-behaved caller, it retries after the
// Retry-After time if the verdict says that the request has not run.
func doWithRetry(ctx context.Context, url string, header http.Header, body any) (fleet.Answer, error) {
	const retryTimeout = 10 * time.Second
	for end := time.Now().Add(retryTimeout); ; {
		answer, err := fleet.Do(ctx, http.MethodPost, url, header, body)
		seconds, parseErr := strconv.ParseFloat(answer.Header.Get("Retry-After"), 64)
		if err != nil || parseErr != nil || answer.Verdict != "not_run" || time.Now().After(end) {
			return answer, err
		}
		time.Sleep(time.Duration(seconds * float64(time.Second)))
	}
}

func printStatus(ctx context.Context, f *fleet.Fleet) error {
	output, err := f.Tool(ctx, "entry-1", "status").CombinedOutput()
	fmt.Printf("\npistachioroad status\n%s", output)
	return eris.Wrap(err, "status")
}

// showLogs prints the end of each log, since the folder is removed at exit.
func showLogs(dir string, err error) error {
	const tail = 1500
	paths, _ := filepath.Glob(filepath.Join(dir, "*.log"))
	for _, path := range paths {
		data, _ := os.ReadFile(path)
		if len(data) > 0 {
			fmt.Fprintf(os.Stderr, "--- %s\n%s\n", filepath.Base(path), data[max(0, len(data)-tail):])
		}
	}
	return err
}
