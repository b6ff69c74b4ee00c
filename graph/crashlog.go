package graph

import (
	"fmt"
	"strings"

	"catkinpoint/flow"
)

// RunAges names the first runs of a list for the log, each with its number and its
// age in milliseconds.
func RunAges(runs []*flow.CrashedRun) string {
	const named = 6
	var names []string
	for _, r := range runs[:min(len(runs), named)] {
		names = append(names, fmt.Sprintf("%s/%d:%dms", r.GetTask(), r.GetRun(), r.GetAgeMs()))
	}
	if more := len(runs) - named; more > 0 {
		names = append(names, fmt.Sprintf("and %d more", more))
	}
	return strings.Join(names, " ")
}
