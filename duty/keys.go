package duty

import (
	"fmt"
	"strconv"
	"strings"
)

// Keys of catkinpoint in the store.
const (
	// KeyPrefix is the common prefix of the keys, except for those of pages, which no gate
	// follows.
	KeyPrefix      = "catkinpoint/"
	pagePrefix     = "catkinpoint-tasks/"
	jobPrefix      = KeyPrefix + "job/"
	progressPrefix = KeyPrefix + "progress/"
	cancelPrefix   = KeyPrefix + "cancel/"
	crashPrefix    = KeyPrefix + "crash/"
	gatePrefix     = KeyPrefix + "gate/"
	claimKey       = KeyPrefix + "duty"
	epochKey       = KeyPrefix + "epoch"
	// learnedKey is the key of what the holder has learned. Gates do not follow it.
	learnedKey = "catkinpoint-learned"
)

// JobKey returns the key of an accepted job.
func JobKey(id string) string { return jobPrefix + id }

// ProgressKey returns the key of a job's progress.
func ProgressKey(id string) string { return progressPrefix + id }

// CancelKey returns the key of a job's cancellation.
func CancelKey(id string) string { return cancelPrefix + id }

// CrashKey returns the key of the crashes of workers under a job's tasks.
func CrashKey(id string) string { return crashPrefix + id }

// PageKey returns the key of a page of a job's progress.
func PageKey(id string, page int64) string { return fmt.Sprintf("%s%s/%d", pagePrefix, id, page) }

// parsePage returns the job and the number of a page, whose key is name after the prefix.
func parsePage(name string) (string, int64, error) {
	id, number, _ := strings.Cut(name, "/")
	page, err := strconv.ParseInt(number, 10, 64)
	if err != nil || page < 0 {
		return "", 0, Error.New("%.64q names no page", name)
	}
	return id, page, nil
}

// GateKey returns the key under which a gate publishes its address.
func GateKey(name string) string { return gatePrefix + name }

// Kind is the type of record that is stored under a key.
type Kind int

// Kinds of keys.
const (
	KindOther Kind = iota
	KindJob
	KindProgress
	KindCancel
	KindCrash
	KindClaim
	KindGate
	KindPage
	KindLearned
)

// KindOf returns the kind of a key, and the id of its job or the name of its gate
// for the kinds that have one; for a page the id of its job and its number.
func KindOf(key string) (Kind, string) {
	if page, ok := strings.CutPrefix(key, pagePrefix); ok {
		return KindPage, page
	}
	if id, ok := strings.CutPrefix(key, jobPrefix); ok {
		return KindJob, id
	}
	if id, ok := strings.CutPrefix(key, progressPrefix); ok {
		return KindProgress, id
	}
	if id, ok := strings.CutPrefix(key, cancelPrefix); ok {
		return KindCancel, id
	}
	if id, ok := strings.CutPrefix(key, crashPrefix); ok {
		return KindCrash, id
	}
	if name, ok := strings.CutPrefix(key, gatePrefix); ok {
		return KindGate, name
	}
	switch key {
	case claimKey:
		return KindClaim, ""
	case learnedKey:
		return KindLearned, ""
	}
	return KindOther, ""
}
