// Package plan decides which units of work start where and which running work
// is stopped for them.
//
// Decide is a pure function of its input: it opens no socket, takes no lock and
// reads no clock. The rules, in order:
//
//   - Work of a customer within its guarantee goes first, and stops other work
//     if it does not fit otherwise (a burst of urgent jobs on full workers).
//   - Then more urgent queues go first, and within them the unit whose latest
//     start for its objective is nearest (many jobs with different slack).
//   - A unit that does not fit reserves the place where it fits soonest; others
//     may use that place only if they end before (large gangs behind a stream
//     of small tasks).
//   - Tasks go to the fullest worker that has room, so that whole workers and
//     racks stay free for wide tasks and gangs (a mix of 1 and 8 accelerators).
//   - The emptiest racks, one in four, are left to urgent units by units with
//     time to spare, and by all others while urgent units have just had to wait
//     (bursts of urgent gangs on a site that is otherwise full).
//   - A unit waits for its data's rack or for one rack for its gang as long as
//     it gains by it, and then runs elsewhere (gangs on a crowded site).
//   - What is stopped for a unit is chosen by worker: each of its tasks takes
//     the place for which the least work is thrown away (urgent gangs of wide
//     tasks on workers that are full of small ones).
package plan
