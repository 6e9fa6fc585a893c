package main

import (
	"encoding/json"
	"fmt"
	"io"
	"strings"
	"text/tabwriter"
	"time"
	"unicode"

	"pistachioroad.dev/pistachioroad/internal/fleetconfig"
)

// table prints aligned columns.
type table struct{ w *tabwriter.Writer }

func newTable(w io.Writer) table {
	const columnGap = 2
	return table{w: tabwriter.NewWriter(w, 0, 0, columnGap, ' ', 0)}
}

func (t table) row(cells ...string) {
	for i, cell := range cells {
		cells[i] = printable(cell)
	}
	fmt.Fprintln(t.w, strings.Join(cells, "\t"))
}

func (t table) flush() { _ = t.w.Flush() }

// printable replaces control characters with spaces. Reasons and names are untrusted: a
// terminal would execute escape sequences in them.
func printable(text string) string {
	return strings.Map(func(r rune) rune {
		if unicode.IsControl(r) && r != '\n' {
			return ' '
		}
		return r
	}, text)
}

func printJSON(w io.Writer, value any) error {
	encoder := json.NewEncoder(w)
	encoder.SetIndent("", "  ")
	return encoder.Encode(value)
}

func timeText(t time.Time) string { return t.UTC().Format(time.RFC3339) }

func durationText(d fleetconfig.Duration) string {
	return time.Duration(d).Round(time.Millisecond).String()
}

// orDash returns text, or "-" for an empty cell.
func orDash(text string) string {
	if text == "" {
		return "-"
	}
	return text
}

// orEmpty returns a copy of list that is not nil, so that JSON has [] instead of null.
func orEmpty[T any](list []T) []T { return append([]T{}, list...) }
