package delay

import (
	"regexp"
	"strconv"
	"strings"
	"time"
)

var (
	messagePattern = regexp.MustCompile(`"((?:duty|gate): [^"]*)"(.*)`)
	fieldPattern   = regexp.MustCompile(`(\w+)=("(?:[^"\\]|\\.)*"|\S+)`)
)

// line is one structured line of a log.
type line struct {
	message string
	fields  map[string]string
}

// parse returns a line of a gate or of the scheduler, and false for all others.
func parse(text string) (line, bool) {
	found := messagePattern.FindStringSubmatch(text)
	if found == nil {
		return line{}, false
	}
	l := line{message: found[1], fields: map[string]string{}}
	for _, field := range fieldPattern.FindAllStringSubmatch(found[2], -1) {
		l.fields[field[1]] = strings.Trim(field[2], `"`)
	}
	return l, true
}

// number returns a whole number, or 0 if the line has none.
func (l line) number(name string) int64 {
	n, err := strconv.ParseInt(l.fields[name], 10, 64)
	if err != nil {
		return 0
	}
	return n
}

func (l line) duration(name string) time.Duration {
	return time.Duration(l.number(name)) * time.Millisecond
}
