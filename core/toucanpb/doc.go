// Package toucanpb holds the protobuf messages between hosts, the effective
// configuration and the bodies of the JSON APIs.
package toucanpb
