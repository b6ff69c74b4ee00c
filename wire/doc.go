// Package wire holds the messages between the system's processes, the values
// kept in the store, and the schema of declarations and settings.
//
// All other files are generated from schema/*.proto by schema/generate.sh and
// committed, so that a build needs no generator. The package holds no logic.
package wire
