package slope

import (
	"fmt"
	"io"
	"math"
	"os"
	"strconv"
	"strings"
)

// Table is one Markdown table of series.
type Table struct {
	Title  string
	Series []Series
	// Load is the load average of the machine before and after the measurement.
	Load string
}

// LoadAverage returns the load average of the machine over 1, 5 and 15 minutes.
func LoadAverage() string {
	data, err := os.ReadFile("/proc/loadavg")
	fields := strings.Fields(string(data))
	if err != nil || len(fields) < 3 {
		return "unknown"
	}
	return strings.Join(fields[:3], " ")
}

// MeasureTables measures all messages and held objects.
func MeasureTables(options Options) ([]Table, error) {
	wireBytes := Table{Title: "Bytes on the wire of one message"}
	cpu := Table{Title: "CPU time of one message"}
	allocations := Table{Title: "Allocations of one message"}
	memory := Table{Title: "Memory of objects held as wire messages"}
	for _, m := range Messages() {
		c, err := MeasureCodec(m, options)
		if err != nil {
			return nil, err
		}
		wireBytes.Series = append(wireBytes.Series, c.Bytes)
		cpu.Series = append(cpu.Series, c.EncodeCPU, c.DecodeCPU)
		allocations.Series = append(allocations.Series, c.EncodeAllocs, c.DecodeAllocs)
	}
	for _, h := range HeldObjects() {
		s, err := MeasureMemory(h, options)
		if err != nil {
			return nil, err
		}
		memory.Series = append(memory.Series, s)
	}
	return []Table{wireBytes, cpu, allocations, memory}, nil
}

// WriteMarkdown writes the tables, each with the command that repeats it.
func WriteMarkdown(w io.Writer, command string, tables []Table) error {
	for _, t := range tables {
		text, err := t.markdown(command)
		if err != nil {
			return err
		}
		if _, err := io.WriteString(w, text); err != nil {
			return Error.New("write table: %w", err)
		}
	}
	return nil
}

func (t Table) markdown(command string) (string, error) {
	var b strings.Builder
	fmt.Fprintf(&b, "### %s\n\n`%s`\n\n", t.Title, command)
	if t.Load != "" {
		fmt.Fprintf(&b, "Load average: %s.\n\n", t.Load)
	}
	b.WriteString("| subject | y | x | measured (x: y) | a | b | largest residual | R² |\n")
	b.WriteString("|---|---|---|---|---:|---:|---:|---:|\n")
	for _, s := range t.Series {
		row, err := s.row()
		if err != nil {
			return "", err
		}
		b.WriteString(row)
	}
	b.WriteString("\n")
	return b.String(), nil
}

// row renders the fit, or the value alone of a subject of one size.
func (s Series) row() (string, error) {
	if s.Input == "" && len(s.Points) == 1 {
		return fmt.Sprintf("| %s | %s | | | %s | | | |\n", s.Subject, s.Output, number(s.Points[0].Y)), nil
	}
	fit, err := LeastSquares(s.Points)
	if err != nil {
		return "", Error.New("%s: %w", s.Subject, err)
	}
	var points []string
	for _, p := range s.Points {
		points = append(points, number(p.X)+": "+number(p.Y))
	}
	return fmt.Sprintf("| %s | %s | %s | %s | %s | %s | %s (%.1f%%) | %.5f |\n",
		s.Subject, s.Output, s.Input, strings.Join(points, ", "),
		number(fit.A), number(fit.B), number(fit.MaxResidual), 100*fit.MaxShare, fit.R2), nil
}

// number keeps whole numbers whole and rounds others to four digits.
func number(v float64) string {
	if math.Abs(v) < 1e-9 {
		return "0" // rounding error of the fit
	}
	if v == float64(int64(v)) || v >= 1000 || v <= -1000 {
		return strconv.FormatFloat(v, 'f', 0, 64)
	}
	return strconv.FormatFloat(v, 'g', 4, 64)
}
