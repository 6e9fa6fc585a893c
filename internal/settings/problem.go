package settings

import (
	"fmt"
	"strings"
)

// Problem is one error in a settings file.
type Problem struct {
	File string
	Line int
	// Key is the path of the key, such as listen.callers.
	Key      string
	Found    string
	Expected string
}

// String returns the problem in the form "file:line: key: found, expected".
func (p Problem) String() string {
	text := fmt.Sprintf("%s:%d: ", p.File, p.Line)
	if p.Key != "" {
		text += p.Key + ": "
	}
	return text + "found " + p.Found + ", expected " + p.Expected
}

// Problems is the list of all errors in a settings file, sorted by line.
type Problems []Problem

// Error returns one line for each problem.
func (p Problems) Error() string {
	lines := make([]string, len(p))
	for i, problem := range p {
		lines[i] = problem.String()
	}
	return strings.Join(lines, "\n")
}
