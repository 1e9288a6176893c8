// Package toucanpb holds the messages between hosts, the effective
// configuration and the bodies of the JSON interfaces.
package toucanpb
