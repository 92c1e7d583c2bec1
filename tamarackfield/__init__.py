"""Serving layer for very many LoRA adapters on a shared base model."""
