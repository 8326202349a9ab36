package dev.bluebellshunt.core.limit;

import com.dynatrace.hash4j.hashing.Hashing;

/** Workspaces are shared out in a fixed number of groups, each with a record and a few holders. */
public final class ShareGroup {

    /** Groups of workspaces. */
    public static final int COUNT = 16;

    /** VMs that hold a part of a group. */
    public static final int HOLDERS = 8;

    /** The prefix of the records' keys. */
    public static final String KEY_PREFIX = "limits/shares/";

    private ShareGroup() {}

    /**
     * The group of a workspace.
     *
     * @param workspace the workspace
     * @return from 0 to {@link #COUNT} - 1
     */
    public static int of(String workspace) {
        return (int) Long.remainderUnsigned(Hashing.komihash5_0().hashCharsToLong(workspace), COUNT);
    }

    /**
     * The key of a group's record.
     *
     * @param group the group
     * @return the key
     */
    public static String key(int group) {
        return KEY_PREFIX + group;
    }
}
