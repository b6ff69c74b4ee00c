package duty

import "strings"

// Keys of catkinpoint in the store.
const (
	// KeyPrefix is the common prefix of the keys.
	KeyPrefix      = "catkinpoint/"
	jobPrefix      = KeyPrefix + "job/"
	progressPrefix = KeyPrefix + "progress/"
	cancelPrefix   = KeyPrefix + "cancel/"
	crashPrefix    = KeyPrefix + "crash/"
	gatePrefix     = KeyPrefix + "gate/"
	claimKey       = KeyPrefix + "duty"
	epochKey       = KeyPrefix + "epoch"
)

// JobKey returns the key of an accepted job.
func JobKey(id string) string { return jobPrefix + id }

// ProgressKey returns the key of a job's progress.
func ProgressKey(id string) string { return progressPrefix + id }

// CancelKey returns the key of a job's cancellation.
func CancelKey(id string) string { return cancelPrefix + id }

// CrashKey returns the key of the crashes of workers under a job's tasks.
func CrashKey(id string) string { return crashPrefix + id }

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
)

// KindOf returns the kind of a key, and the id of its job or the name of its gate
// for the kinds that have one.
func KindOf(key string) (Kind, string) {
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
	if key == claimKey {
		return KindClaim, ""
	}
	return KindOther, ""
}
