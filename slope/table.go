package slope

import (
	"fmt"
	"io"
	"math"
	"os"
	"strconv"
	"strings"
)

// Table is a Markdown table with one row for each series.
type Table struct {
	Title  string
	Series []Series
	// Load is the load average of the machine before and after the measurement.
	Load string
}

// LoadAverage returns the load average of the machine over 1, 5 and 15 minutes, or
// "unknown" if it cannot be read.
func LoadAverage() string {
	data, err := os.ReadFile("/proc/loadavg")
	fields := strings.Fields(string(data))
	if err != nil || len(fields) < 3 {
		return "unknown"
	}
	return strings.Join(fields[:3], " ")
}

// MeasureMessageTables measures the costs of all kinds of messages and the memory of
// all kinds of held objects.
func MeasureMessageTables(options Options) ([]Table, error) {
	wireBytes := Table{Title: "Bytes on the wire of one message"}
	cpu := Table{Title: "CPU time of one message"}
	allocations := Table{Title: "Allocations of one message"}
	memory := Table{Title: "Memory of objects held as wire messages"}
	for _, kind := range Messages() {
		series, err := MeasureCodec(kind, options)
		if err != nil {
			return nil, err
		}
		wireBytes.Series = append(wireBytes.Series, series.Bytes)
		cpu.Series = append(cpu.Series, series.EncodeCPU, series.DecodeCPU)
		allocations.Series = append(allocations.Series, series.EncodeAllocs, series.DecodeAllocs)
	}
	for _, kind := range HeldObjects() {
		series, err := MeasureMemory(kind, options)
		if err != nil {
			return nil, err
		}
		memory.Series = append(memory.Series, series)
	}
	return []Table{wireBytes, cpu, allocations, memory}, nil
}

// WriteMarkdown writes the tables, each with the command that reproduces it.
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

// markdown returns the table with its title and the command.
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

// row returns the table row of the series: its points and their fit, or just the value
// if its subject has one size.
func (s Series) row() (string, error) {
	if s.Input == "" && len(s.Points) == 1 {
		return fmt.Sprintf("| %s | %s | | | %s | | | |\n", s.Subject, s.Output, formatNumber(s.Points[0].Y)), nil
	}
	fit, err := LeastSquares(s.Points)
	if err != nil {
		return "", Error.New("%s: %w", s.Subject, err)
	}
	var points []string
	for _, p := range s.Points {
		points = append(points, formatNumber(p.X)+": "+formatNumber(p.Y))
	}
	return fmt.Sprintf("| %s | %s | %s | %s | %s | %s | %s (%.1f%%) | %.5f |\n",
		s.Subject, s.Output, s.Input, strings.Join(points, ", "),
		formatNumber(fit.A), formatNumber(fit.B), formatNumber(fit.MaxResidual), 100*fit.MaxRelativeResidual, fit.R2), nil
}

// formatNumber formats whole numbers and those of magnitude 1000 or more without
// decimals, and others with four significant digits.
func formatNumber(v float64) string {
	if math.Abs(v) < 1e-9 {
		return "0" // rounding error of the fit
	}
	if v == float64(int64(v)) || v >= 1000 || v <= -1000 {
		return strconv.FormatFloat(v, 'f', 0, 64)
	}
	return strconv.FormatFloat(v, 'g', 4, 64)
}
