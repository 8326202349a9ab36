package dev.bluebellshunt.core.model;

/** What a target is. */
public enum TargetKind {
    /** A language-model engine. */
    ENGINE,
    /** A plain service. */
    APPLICATION
}
