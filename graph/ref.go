package graph

import (
	"fmt"
	"strconv"
	"strings"

	"github.com/zeebo/errs"
)

// Error is the class of all errors of this package.
var Error = errs.Class("graph")

// Ref names one task of a job.
type Ref struct {
	Occurrence int32
	Step       int32
	Index      int32
}

// TaskName returns the name of a task as workers know it.
func TaskName(job string, ref Ref) string {
	return fmt.Sprintf("%s.%d.%d.%d", job, ref.Occurrence, ref.Step, ref.Index)
}

// ParseTask returns the job and the task that a name stands for.
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
