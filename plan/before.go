package plan

// Before reports whether a starts before b if both fit. It is the order in which Decide
// takes requests.
func Before(a, b Request) bool { return compareRequests(a, b) < 0 }
