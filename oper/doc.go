// Package oper serves the operators' HTTP API: changes, the published
// configuration, the audit trail, and whether a version is in force.
//
// Bodies are JSON of the messages in schema/decl.proto with their field names.
// An object in a change is complete: keys that are left out count as zero, not
// as their default. A fault is answered with a list of all faults. A request
// whose outcome is unknown may be repeated with the same change id.
package oper
