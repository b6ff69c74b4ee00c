// Package decl holds the objects that operators declare: customers,
// guarantees, data centres, services and job classes.
//
// Objects are written as INI sections [kind name], in one or more files; the
// kinds and their keys are defined in schema/decl.proto. A Set is immutable and
// has a version; each object in it has the version at which it last changed.
// Merge applies a change to a set, Check validates a whole set, and a set is
// published only if Check finds no fault. Both are pure functions; the package
// does no network I/O.
//
// A guarantee promises a customer a number of shapes. A shape is a number of
// accelerators within one worker, rack or data centre. Check accepts guarantees
// only after it has assigned every shape to a data centre, so it never accepts
// guarantees that the workers cannot meet together. Beyond the limits of the
// exact search it may reject guarantees that could be met; the fault then says
// that the search was not exact.
package decl
