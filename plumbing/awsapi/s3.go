package awsapi

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"

	"github.com/aws/aws-sdk-go-v2/aws"
	"github.com/aws/aws-sdk-go-v2/service/s3"
	smithyhttp "github.com/aws/smithy-go/transport/http"

	"github.com/hibiscusyard/hibiscusyard/plumbing/ports"
)

// maxObject bounds the size in bytes of an object that is read into memory; the
// largest objects are catalogues, whose parts operators write by hand.
const maxObject = 64 << 20

// S3Bucket is a ports.ObjectStore and a ports.WeightStore over one bucket of the S3 API.
type S3Bucket struct {
	client   *s3.Client
	endpoint Endpoint
	bucket   string
}

// NewS3Bucket returns a client of the bucket, addressed by path.
func NewS3Bucket(e Endpoint, bucket string) (*S3Bucket, error) {
	e, err := e.check()
	if err != nil {
		return nil, err
	}
	client := s3.NewFromConfig(e.config(), func(o *s3.Options) {
		o.UsePathStyle = true
		o.DisableS3ExpressSessionAuth = aws.Bool(true)
		o.RequestChecksumCalculation = aws.RequestChecksumCalculationWhenRequired
		o.ResponseChecksumValidation = aws.ResponseChecksumValidationWhenRequired
	})
	return &S3Bucket{client: client, endpoint: e, bucket: bucket}, nil
}

// Put implements ports.ObjectStore.
func (b *S3Bucket) Put(ctx context.Context, key string, data []byte) error {
	c := b.endpoint.newCall(ctx)
	defer c.cancel()
	_, err := b.client.PutObject(c, &s3.PutObjectInput{
		Bucket: &b.bucket, Key: &key, Body: bytes.NewReader(data),
	})
	return c.classify("put object "+key, err)
}

// Get implements ports.ObjectStore.
func (b *S3Bucket) Get(ctx context.Context, key string) ([]byte, error) {
	c := b.endpoint.newCall(ctx)
	defer c.cancel()
	out, err := b.client.GetObject(c, &s3.GetObjectInput{Bucket: &b.bucket, Key: &key})
	if err != nil {
		return nil, c.classifyRead("get object "+key, err)
	}
	defer out.Body.Close()
	length := min(max(aws.ToInt64(out.ContentLength), 0), maxObject)
	data := bytes.NewBuffer(make([]byte, 0, length+bytes.MinRead)) // does not grow if the length is right
	if _, err := data.ReadFrom(io.LimitReader(out.Body, maxObject+1)); err != nil {
		return nil, c.classify("get object "+key, err)
	}
	if data.Len() > maxObject {
		return nil, fmt.Errorf("get object %s: larger than %d bytes", key, maxObject)
	}
	return data.Bytes(), nil
}

// Size implements ports.WeightStore.
func (b *S3Bucket) Size(ctx context.Context, checkpoint string) (int64, error) {
	c := b.endpoint.newCall(ctx)
	defer c.cancel()
	out, err := b.client.HeadObject(c, &s3.HeadObjectInput{Bucket: &b.bucket, Key: &checkpoint})
	if err != nil {
		return 0, c.classifyRead("head object "+checkpoint, err)
	}
	return aws.ToInt64(out.ContentLength), nil
}

// classifyRead is classify for reads, where 404 means that the object is
// absent. A response to HEAD has no body and therefore no error code.
func (c *call) classifyRead(op string, err error) error {
	var response *smithyhttp.ResponseError
	if errors.As(err, &response) && response.HTTPStatusCode() == http.StatusNotFound {
		return fmt.Errorf("%s: %w: %w", op, ports.ErrNotFound, err)
	}
	return c.classify(op, err)
}
