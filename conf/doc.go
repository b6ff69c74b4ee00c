// Package conf reads and writes INI text by the schema of a protobuf message.
//
// The field options of the schema give each key its default, its range and its
// form, so a message is the only place where a setting is defined. The package
// finds line by line what gopkg.in/ini.v1 reads, because that library stops at
// the first fault and keeps no line numbers; a value therefore ends with its
// line. Every fault of a text is reported at once, with file, line, section and
// key, and an unknown name comes with the nearest known one.
//
// The package knows no kind of declared object; package decl does.
package conf
