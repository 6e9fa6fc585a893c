// Command quickstart runs the main job on stand-ins: two entries, their
// sidecars, a streamed draft, and a hold sent twice with one key.
//
// With -once it stops by itself and exits with 0 only if all of it was right;
// otherwise the fleet stays up until it is interrupted.
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
		return eris.Wrap(err, "folder for settings and logs")
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
	if err := round(ctx, f); err != nil {
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

// round sends the draft and the hold, and shows the status.
func round(ctx context.Context, f *fleet.Fleet) error {
	if err := draft(ctx, f); err != nil {
		return err
	}
	if err := holdTwice(ctx, f); err != nil {
		return err
	}
	return status(ctx, f)
}

func draft(ctx context.Context, f *fleet.Fleet) error {
	answer, err := ask(ctx, f.URL("entry-1")+"/v1/completions", nil,
		fleet.Completion{Model: "draft", Prompt: prompt, MaxTokens: maxTokens, Stream: true})
	if err != nil {
		return eris.Wrap(err, "draft")
	}
	text, whole := fleet.CompletionText(answer)
	fmt.Printf("\ndraft, streamed: %d, whole: %v\n%s\n", answer.Status, whole, strings.TrimSpace(text))
	if answer.Status != http.StatusOK || !whole || text != modelengine.Answer(prompt, maxTokens) {
		return eris.Errorf("the draft is wrong: %d %s", answer.Status, answer.Body)
	}
	return nil
}

// holdTwice places one hold through two entries with one key.
func holdTwice(ctx context.Context, f *fleet.Fleet) error {
	bodies := []string{}
	for _, entry := range f.Entries[:2] {
		header := http.Header{"Idempotency-Key": {holdKey}}
		answer, err := ask(ctx, f.URL(entry)+"/services/holds/holds", header,
			plainservice.Hold{Subject: subject})
		if err != nil {
			return eris.Wrap(err, "hold")
		}
		fmt.Printf("\nhold through %s: %d, verdict %s\n%s\n", entry, answer.Status, answer.Verdict, answer.Body)
		if answer.Status != http.StatusCreated {
			return eris.Errorf("the hold failed: %d %s", answer.Status, answer.Body)
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
		return eris.Errorf("want one run and the same answer twice, have %d runs", runs)
	}
	return nil
}

// ask sends a request as a well-behaved caller does: what was certainly not run
// is asked again when the answer says so.
func ask(ctx context.Context, url string, header http.Header, body any) (fleet.Answer, error) {
	const patience = 10 * time.Second
	for end := time.Now().Add(patience); ; {
		answer, err := fleet.Do(ctx, http.MethodPost, url, header, body)
		seconds, notAgain := strconv.ParseFloat(answer.Header.Get("Retry-After"), 64)
		if err != nil || notAgain != nil || answer.Verdict != "not_run" || time.Now().After(end) {
			return answer, err
		}
		time.Sleep(time.Duration(seconds * float64(time.Second)))
	}
}

func status(ctx context.Context, f *fleet.Fleet) error {
	output, err := f.Tool(ctx, "entry-1", "status").CombinedOutput()
	fmt.Printf("\npistachioroad status\n%s", output)
	return eris.Wrap(err, "status")
}

// showLogs prints the end of each log, since the folder goes with the program.
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
