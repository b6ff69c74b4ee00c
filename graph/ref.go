package graph

import (
	"fmt"
	"strconv"
	"strings"

	"github.com/zeebo/errs"
)

// Error is the class of all errors of this package.
var Error = errs.Class("graph")

// Ref identifies a task within its job: an occurrence of the job, a step and a task
// of the step, each counted from 0.
type Ref struct {
	Occurrence int32
	Step       int32
	Index      int32
}

// TaskName returns the name by which workers know a task: the job and the three
// numbers of ref, separated by dots.
func TaskName(job string, ref Ref) string {
	return fmt.Sprintf("%s.%d.%d.%d", job, ref.Occurrence, ref.Step, ref.Index)
}

// ParseTask is the inverse of TaskName. It fails if the name does not have four parts
// or if one of the last three is not a number from 0 to the largest int32.
func ParseTask(name string) (string, Ref, error) {
	parts := strings.Split(name, ".")
	if len(parts) != 4 {
		return "", Ref{}, Error.New("task name %q does not have four parts", name)
	}
	var numbers [3]int32
	for i, part := range parts[1:] {
		n, err := strconv.ParseInt(part, 10, 32)
		if err != nil || n < 0 {
			return "", Ref{}, Error.New("task name %q: part %q is not a number", name, part)
		}
		numbers[i] = int32(n)
	}
	return parts[0], Ref{numbers[0], numbers[1], numbers[2]}, nil
}
