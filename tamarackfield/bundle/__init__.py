"""The operators' bundle: model, validation, signing, shards and acceptance."""

from tamarackfield.bundle.acceptance import Acceptance, BundleRefusedError
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
from tamarackfield.bundle.signing import Envelope, SignatureError, generate_key, open_envelope, seal
from tamarackfield.bundle.validation import find_bundle_problems

__all__ = [
    'MANIFEST_NAME',
    'Acceptance',
    'AdapterEntry',
    'Bundle',
    'BundleRefusedError',
    'CallerEntry',
    'Envelope',
    'Publication',
    'ServiceEntry',
    'SignatureError',
    'TargetEntry',
    'build_bundle',
    'find_bundle_problems',
    'generate_key',
    'hash_key',
    'join_shards',
    'open_envelope',
    'publish',
    'seal',
    'shard_path',
]
