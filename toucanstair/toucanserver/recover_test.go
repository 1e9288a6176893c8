package toucanserver

import (
	"context"
	"testing"

	"github.com/stretchr/testify/require"
	"go.uber.org/zap"
	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"
)

// Guards against a message of another host that ends the process.
func TestPanicOnOneCallFailsThatCall(t *testing.T) {
	_, err := recoverUnary(zap.NewNop())(t.Context(), nil, &grpc.UnaryServerInfo{}, func(context.Context, any) (any, error) { panic("a defect") })
	require.Equal(t, codes.Internal, status.Code(err))
	err = recoverStream(zap.NewNop())(nil, nil, &grpc.StreamServerInfo{}, func(any, grpc.ServerStream) error { panic("a defect") })
	require.Equal(t, codes.Internal, status.Code(err))
	reply, err := recoverUnary(zap.NewNop())(t.Context(), nil, &grpc.UnaryServerInfo{}, func(context.Context, any) (any, error) { return 7, nil })
	require.NoError(t, err)
	require.Equal(t, 7, reply)
}
