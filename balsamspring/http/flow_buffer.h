// Write-only stream buffer that passes each write to a callback and completes it when the task that the callback
// returned completes. cpprestsdk reads the next chunk of a body only then, which provides flow control without blocking
// a thread. Internal header: includes cpprestsdk.
#pragma once

#include <functional>
#include <memory>
#include <string>
#include <utility>

#include <cpprest/astreambuf.h>

namespace balsamspring::internal {

class callback_stream_buffer : public Concurrency::streams::details::streambuf_state_manager<unsigned char> {
public:
    using write_function = std::function<pplx::task<void>(std::string)>;

    explicit callback_stream_buffer(write_function write)
        : streambuf_state_manager(std::ios_base::out)
        , m_write(std::move(write))
    {
    }

    bool can_seek() const override { return false; }
    bool has_size() const override { return false; }
    size_t buffer_size(std::ios_base::openmode) const override { return 0; }
    void set_buffer_size(size_t, std::ios_base::openmode) override { }
    size_t in_avail() const override { return 0; }
    pos_type getpos(std::ios_base::openmode) const override { return end(); }
    pos_type seekpos(pos_type, std::ios_base::openmode) override { return end(); }
    pos_type seekoff(off_type, std::ios_base::seekdir, std::ios_base::openmode) override { return end(); }
    bool acquire(unsigned char*& pointer, size_t& count) override
    {
        pointer = nullptr;
        count = 0;
        return false;
    }
    void release(unsigned char*, size_t) override { }

protected:
    using int_task = pplx::task<int_type>;

    int_task _putc(unsigned char character) override
    {
        return m_write(std::string(1, static_cast<char>(character))).then([character] { return int_type(character); });
    }
    pplx::task<size_t> _putn(const unsigned char* bytes, size_t count) override
    {
        return m_write(std::string(reinterpret_cast<const char*>(bytes), count)).then([count] { return count; });
    }
    int_task _bumpc() override { return noInput(); }
    int_type _sbumpc() override { return traits::eof(); }
    int_task _getc() override { return noInput(); }
    int_type _sgetc() override { return traits::eof(); }
    int_task _nextc() override { return noInput(); }
    int_task _ungetc() override { return noInput(); }
    pplx::task<size_t> _getn(unsigned char*, size_t) override { return pplx::task_from_result<size_t>(0); }
    size_t _scopy(unsigned char*, size_t) override { return 0; }
    pplx::task<bool> _sync() override { return pplx::task_from_result(true); }
    unsigned char* _alloc(size_t) override { return nullptr; }
    void _commit(size_t) override { }

private:
    static pos_type end() { return static_cast<pos_type>(traits::eof()); }
    static int_task noInput() { return pplx::task_from_result<int_type>(traits::eof()); }

    write_function m_write;
};

// Handle through which cpprestsdk accepts a callback_stream_buffer.
class callback_stream_buffer_handle : public Concurrency::streams::streambuf<unsigned char> {
public:
    explicit callback_stream_buffer_handle(callback_stream_buffer::write_function write)
        : streambuf(std::shared_ptr<Concurrency::streams::details::basic_streambuf<unsigned char>>(
            std::make_shared<callback_stream_buffer>(std::move(write))))
    {
    }
};

} // namespace balsamspring::internal
