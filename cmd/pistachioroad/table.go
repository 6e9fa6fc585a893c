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

// printable replaces control characters. Reasons and names come from other
// people, and a terminal would obey an escape sequence hidden in them.
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

// dash stands for an empty cell.
func dash(text string) string {
	if text == "" {
		return "-"
	}
	return text
}

// orEmpty keeps a list without elements from becoming null in JSON.
func orEmpty[T any](list []T) []T { return append([]T{}, list...) }
