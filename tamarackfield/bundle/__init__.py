"""The operators' configuration bundle: model, validation, signing, shards and acceptance."""

from tamarackfield.bundle.acceptance import Acceptance, BundleConflictError, BundleRefusedError
from tamarackfield.bundle.delta import Release, apply_delta, make_delta
from tamarackfield.bundle.model import (
    AdapterEntry,
    Bundle,
    CallerEntry,
    ServiceEntry,
    TargetEntry,
    build_bundle,
    hash_key,
)
from tamarackfield.bundle.shards import MANIFEST_NAME, Publication, join_shards, publish, shard_path
from tamarackfield.bundle.signing import Envelope, SignatureError, generate_key, sign_manifest, verify_envelope
from tamarackfield.bundle.validation import find_bundle_problems

__all__ = [
    'MANIFEST_NAME',
    'Acceptance',
    'AdapterEntry',
    'Bundle',
    'BundleConflictError',
    'BundleRefusedError',
    'CallerEntry',
    'Envelope',
    'Publication',
    'Release',
    'ServiceEntry',
    'SignatureError',
    'TargetEntry',
    'apply_delta',
    'build_bundle',
    'find_bundle_problems',
    'generate_key',
    'hash_key',
    'join_shards',
    'make_delta',
    'publish',
    'shard_path',
    'sign_manifest',
    'verify_envelope',
]
