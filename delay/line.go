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

// logLine is a structured log line: its message and its fields by key.
type logLine struct {
	message string
	fields  map[string]string
}

// parseLine parses a log line of a gate or of the scheduler, and reports false
// for all others.
func parseLine(text string) (logLine, bool) {
	match := messagePattern.FindStringSubmatch(text)
	if match == nil {
		return logLine{}, false
	}
	l := logLine{message: match[1], fields: map[string]string{}}
	for _, field := range fieldPattern.FindAllStringSubmatch(match[2], -1) {
		l.fields[field[1]] = strings.Trim(field[2], `"`)
	}
	return l, true
}

// integer returns the value of a field, or 0 if it is missing or not an integer.
func (l logLine) integer(key string) int64 {
	n, err := strconv.ParseInt(l.fields[key], 10, 64)
	if err != nil {
		return 0
	}
	return n
}

// duration returns the value of a field in milliseconds, or 0 if it is missing or
// not an integer.
func (l logLine) duration(key string) time.Duration {
	return time.Duration(l.integer(key)) * time.Millisecond
}
