// Package decl holds the objects that operators declare: customers,
// guarantees, data centres, services and job classes.
//
// Objects are written as INI sections [kind name], in one file or many; the
// kinds and their keys are those of schema/decl.proto. A Set is immutable and
// has a version; each object in it has the version at which it last changed.
// Merge applies a change to a set, Check judges a whole set, and a set is
// published only if Check finds no fault. Both are pure functions; the package
// opens no socket.
//
// Check never accepts guarantees that the workers cannot meet together: it
// accepts only with an assignment of every shape to a data centre in hand.
// Beyond the limits of the exact search it may refuse a set that could be met,
// and the fault then says so.
package decl
