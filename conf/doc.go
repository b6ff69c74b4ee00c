// Package conf reads and writes protobuf messages as sections of INI text.
//
// The field options of the schema define the default, the range and the format
// of each key, so a setting is defined nowhere else. The package parses text with
// gopkg.in/ini.v1 one line at a time, because that library stops at the first
// fault and keeps no line numbers; a value therefore cannot span lines. All faults
// of a text are reported at once, with file, line, section and key, and the
// fault of an unknown name suggests the nearest known one.
//
// The kinds of declared objects are defined in package decl, not here.
package conf
