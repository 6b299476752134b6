//! Small files for the tests of the fold.

/// A good file that differs by `number`.
pub fn file(number: u32) -> String {
    format!(
        "[fleet]\nname = \"f\"\nregion = \"r\"\nfailure_domains = [\"a\"]\n\
         [limits]\nqueue_per_customer = {number}\n\
         [[customer]]\nname = \"c\"\nshare = 1\nkey_sha256 = [\"{:064x}\"]\n\
         [[service]]\nname = \"s\"\nkind = \"plain\"\nclass = \"quick\"\n",
        7
    )
}
