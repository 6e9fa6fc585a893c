package report

import (
	"slices"

	"pistachioroad.dev/pistachioroad/internal/store"
	"pistachioroad.dev/pistachioroad/internal/usage"
)

const (
	// Kind and Name identify the store object that has the right to report and the reports.
	Kind = "pistachioroad-usage"
	Name = "reports"
	// keptSent is the number of sent reports that stay in the object, for operators.
	keptSent = 3
	// maxRecent limits the list of recent holders.
	maxRecent = 16
)

// record is the value of the object. It changes by conditional updates only. A report is in
// it before it is first sent, so that no two reports of a window can differ.
type record struct {
	// Holder is the VM that may send reports, Incarnation the start of its process.
	Holder      string `json:"holder"`
	Incarnation string `json:"incarnation"`
	// WriteID distinguishes the writes of a holder, so that it recognizes its own after the
	// response was lost.
	WriteID string `json:"write"`
	// Era is the store's era in which the record was written.
	Era store.Era `json:"era,omitempty"`
	// Released is set if the holder has given up the right: it sends nothing any more.
	Released bool `json:"released,omitempty"`
	// Recent are the holders that have followed each other without a wait. They must wait
	// before they take a released right, since their last report may be too recent.
	Recent []string `json:"recent,omitempty"`
	// SettledThrough is the last window that is settled.
	SettledThrough usage.Window `json:"settled_through"`
	Reports        []settled    `json:"reports,omitempty"`
}

// settled is the report of a window, which does not change any more.
type settled struct {
	Window usage.Window `json:"window"`
	// Counts is nil once the report is sent, which keeps the object small.
	Counts usage.Counts `json:"counts"`
	// Sent is set once the platform has accepted the report.
	Sent bool `json:"sent,omitempty"`
}

// clone returns a copy that shares no list with r. The counts are never changed.
func (r record) clone() record {
	r.Recent = slices.Clone(r.Recent)
	r.Reports = slices.Clone(r.Reports)
	return r
}

// markSent marks the reports of the given windows as sent.
func (r *record) markSent(sent map[usage.Window]bool) {
	for i := range r.Reports {
		if s := &r.Reports[i]; s.Sent || sent[s.Window] {
			s.Sent, s.Counts = true, nil
		}
	}
}

// settle adds the report of the next window.
func (r *record) settle(counts usage.Counts) {
	r.SettledThrough++
	r.Reports = append(r.Reports, settled{Window: r.SettledThrough, Counts: counts})
}

// prune drops reports that were sent or that are older than oldest. It returns the dropped
// ones that were not sent.
func (r *record) prune(oldest usage.Window) (unsent []settled) {
	var kept []settled
	for _, s := range r.Reports {
		switch {
		case s.Sent && s.Window <= r.SettledThrough-keptSent:
		case !s.Sent && s.Window < oldest:
			unsent = append(unsent, s)
		default:
			kept = append(kept, s)
		}
	}
	r.Reports = kept
	return unsent
}

// followedBy adds a holder to the recent ones.
func (r *record) followedBy(holder string) {
	if !slices.Contains(r.Recent, r.Holder) && r.Holder != holder {
		r.Recent = append(r.Recent, r.Holder)
	}
	r.Recent = r.Recent[max(0, len(r.Recent)-maxRecent):]
}

// leaveOut gives up all windows up to the given one that are not known to be accepted, and
// returns the first of them and how many they are. They are not reported any more.
func (r *record) leaveOut(through usage.Window) (first usage.Window, count int64) {
	first = r.SettledThrough + 1
	count = max(0, int64(through-r.SettledThrough))
	for _, s := range r.Reports {
		if !s.Sent {
			first = min(first, s.Window)
			count++
		}
	}
	r.SettledThrough = max(r.SettledThrough, through)
	r.Reports = slices.DeleteFunc(r.Reports, func(s settled) bool { return !s.Sent })
	return first, count
}
