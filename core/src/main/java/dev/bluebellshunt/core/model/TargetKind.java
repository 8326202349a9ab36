package dev.bluebellshunt.core.model;

/** The kind of a target. */
public enum TargetKind {
    /** A language-model engine. */
    ENGINE,
    /** An application that serves plain HTTP requests. */
    APPLICATION
}
