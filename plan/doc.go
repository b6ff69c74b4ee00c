// Package plan decides which ready units start on which workers and which runs
// are preempted for them. A unit is a gang or a single task; it is urgent if the
// priority of its job is 0. The cluster is all workers of the input.
//
// Decide is a pure function of its input: it opens no socket, takes no lock and
// reads no clock. Its rules, in order, each with the load that calls for it:
//
//   - Units covered by their customer's guarantee go first, and preempt other
//     runs if they do not fit otherwise (a burst of urgent jobs on full workers).
//   - Units whose result can still be of use go next, and of these first the urgent
//     ones, then those that can still meet their objective, then those with the
//     lowest priority number, and among equals the unit with the least slack (many
//     jobs with different slack).
//   - A unit that does not fit reserves the workers on which it fits earliest.
//     Other units are backfilled there only if they end before the reservation
//     begins (large gangs behind a stream of small tasks).
//   - Tasks are packed on the fullest worker with enough free resources, so that
//     whole workers and racks stay free for wide tasks and gangs (a mix of tasks
//     with 1 and 8 accelerators).
//   - The emptiest racks, one in four, are set aside for urgent units. Other
//     units with slack stay off them, and so do all other units on a busy cluster
//     after an urgent unit has recently had to wait (bursts of urgent gangs on an
//     otherwise full cluster).
//   - A unit waits for the rack of its data, or for one rack for its gang, while
//     the wait costs less time than running elsewhere, and then runs elsewhere
//     (gangs on a crowded cluster).
//   - Victims are chosen worker by worker: each task of the preempting unit takes
//     the worker on which the stops cost least (urgent gangs of wide tasks on
//     workers that are full of small tasks).
//   - With Input.OrderByCost, while the workers cannot do in time all that waits, units
//     wait and runs are stopped whose delay costs callers least (four times as many
//     arrivals as there is room for); see costOrder. At all other times it changes nothing.
package plan
