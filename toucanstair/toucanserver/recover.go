package toucanserver

import (
	"context"

	"go.uber.org/zap"
	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"toucanstair.example/toucanstair/toucanpanic"
)

// recoverUnary returns an interceptor that turns a panic of a handler into an error of
// its call.
func recoverUnary(log *zap.Logger) grpc.UnaryServerInterceptor {
	return func(ctx context.Context, request any, info *grpc.UnaryServerInfo, handler grpc.UnaryHandler) (reply any, err error) {
		panicked := toucanpanic.Call(func() { reply, err = handler(ctx, request) })
		if panicked != nil {
			return nil, callFailed(log, info.FullMethod, panicked)
		}
		return reply, err
	}
}

// recoverStream is recoverUnary for streams.
func recoverStream(log *zap.Logger) grpc.StreamServerInterceptor {
	return func(server any, stream grpc.ServerStream, info *grpc.StreamServerInfo, handler grpc.StreamHandler) (err error) {
		panicked := toucanpanic.Call(func() { err = handler(server, stream) })
		if panicked != nil {
			return callFailed(log, info.FullMethod, panicked)
		}
		return err
	}
}

func callFailed(log *zap.Logger, method string, panicked *toucanpanic.Error) error {
	log.Error("call of another host panicked", zap.String("method", method), zap.Error(panicked), zap.ByteString("stack", panicked.Stack))
	return status.Error(codes.Internal, panicked.Error())
}
