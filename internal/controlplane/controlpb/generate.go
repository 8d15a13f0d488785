// Package controlpb holds the messages of the control stream, generated from control.proto.
package controlpb

//go:generate protoc -I. -I../catalog/catalogpb --go_out=. --go_opt=paths=source_relative control.proto
