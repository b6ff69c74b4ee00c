package conf

import "fmt"

// Nearest returns the known name with the smallest edit distance to name, or
// "" if all distances are more than half the length of name.
func Nearest(name string, known []string) string {
	best, bestDistance := "", len(name)/2+1
	for _, candidate := range known {
		if d := editDistance(name, candidate); d < bestDistance {
			best, bestDistance = candidate, d
		}
	}
	return best
}

// UnknownNameText returns the text of the fault of an unknown name, with the nearest
// known name if there is one. The argument what is what the name stands for, such
// as "key".
func UnknownNameText(what, name string, known []string) string {
	if near := Nearest(name, known); near != "" {
		return fmt.Sprintf("unknown %s %q, did you mean %q?", what, name, near)
	}
	return fmt.Sprintf("unknown %s %q", what, name)
}

// editDistance returns the Levenshtein distance of two names, in bytes.
func editDistance(a, b string) int {
	row := make([]int, len(b)+1)
	for j := range row {
		row[j] = j
	}
	for i := range len(a) {
		diagonal := row[0]
		row[0] = i + 1
		for j := range len(b) {
			cost := diagonal
			if a[i] != b[j] {
				cost++
			}
			diagonal = row[j+1]
			row[j+1] = min(cost, row[j]+1, row[j+1]+1)
		}
	}
	return row[len(b)]
}
