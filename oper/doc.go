// Package oper serves the operators' HTTP API: changes of the configuration, the
// published configuration, the audit trail, and whether a version is in force.
//
// Bodies are JSON of the messages in schema/decl.proto with their field names.
// An object in a change is complete: a field that is left out is zero, not its
// default. A change with faults is answered with a list of all of them. A request
// whose outcome is unknown may be repeated with the same change id.
package oper
